package demo

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"quillfront/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRun checks that the report adds up, that the injected faults appear and that no rule is
// violated.
func TestRun(t *testing.T) {
	events := map[string]bool{}
	r, err := Run(t.Context(), Options{Duration: 5 * time.Second, Rate: 60, Progress: func(p Progress) {
		if p.Event != "" {
			events[p.Event] = true
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if r.Served+r.Refused+r.Failed+r.Lost != r.Asked || r.Asked < 150 {
		t.Errorf("%d asked, %d served, %d refused, %d failed, %d lost", r.Asked, r.Served, r.Refused, r.Failed, r.Lost)
	}
	if len(r.Violations) > 0 {
		t.Errorf("violated rules: %v", r.Violations)
	}
	if r.Served < r.Asked*8/10 {
		t.Errorf("%d of %d served", r.Served, r.Asked)
	}
	if len(events) < 4 || len(r.Servers) != 7 || r.Servers["giru-3"].Requests == 0 {
		t.Errorf("events %v, servers %v", events, r.Servers)
	}
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"served", "refused", "failed", "duplicates", "late_sends_to_draining"} {
		if !strings.Contains(string(text), `"`+key+`":`) {
			t.Errorf("no %s in %s", key, text)
		}
	}
	var table strings.Builder
	if err := r.Write(&table); err != nil || !strings.Contains(table.String(), "delivery-order") || strings.Contains(table.String(), "BROKEN") {
		t.Errorf("table %v\n%s", err, table.String())
	}
}

// TestViolationIsReported checks that a violation reaches the report: requests are sent to a
// draining server directly, past the sidecar, until after the grace of 2 s.
func TestViolationIsReported(t *testing.T) {
	var pokes sync.WaitGroup
	r, err := Run(t.Context(), Options{Duration: 5 * time.Second, Rate: 20, OnDrain: func(b *standin.Server) {
		pokes.Go(func() {
			for range 45 { // one request each 100 ms, until past the 2 s
				time.Sleep(100 * time.Millisecond)
				standin.SendRequest(b)
			}
		})
	}})
	pokes.Wait()
	if err != nil {
		t.Fatal(err)
	}
	if r.LateSendsToDraining == 0 || len(r.Violations) == 0 {
		t.Errorf("%d late sends, broken %v", r.LateSendsToDraining, r.Violations)
	}
}

// TestOptions checks that options out of range are rejected and that a run can be canceled.
func TestOptions(t *testing.T) {
	for _, o := range []Options{{Duration: time.Millisecond}, {Duration: 48 * time.Hour}, {Rate: -1}, {Rate: 1e9}} {
		if _, err := Run(t.Context(), o); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, Options{Duration: time.Second}); !errors.Is(err, context.Canceled) {
		t.Errorf("canceled run: %v", err)
	}
}
