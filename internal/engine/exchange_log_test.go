package engine

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

// TestExchangeLogNamesTheCause guards against an exchange that is closed, retried or refused without
// a line from which its cause can be read.
func TestExchangeLogNamesTheCause(t *testing.T) {
	e, f := startEngine(t, "a", "b")
	var text bytes.Buffer
	e.exchanges = newExchangeLog(slog.New(slog.NewTextHandler(&text, nil)))
	r, _ := submit(t, e, "unsafe", "n1")
	f.finish(receive(t, "attempt", f.started), AttemptResult{Status: policy.Reset, End: AttemptEnd{
		Reason: policy.ReasonStoodStill, Limit: "stall", LimitLength: time.Second, Received: 70,
	}})
	receive(t, "result", r.Result())
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, want := range []string{
		`msg="attempt ended" request=n1 attempt=0 server=`, "result=reset reason=stood_still", "received=70 passed_on=false limit=stall limit_length=1s",
		`msg="request ended" request=n1 class=unsafe result=failed attempts=1`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the log lacks %q:\n%s", want, text.String())
		}
	}
	if n := e.counts["unsafe"].Reasons[policy.ReasonStoodStill]; n != 1 {
		t.Errorf("%d attempts are counted as stood still, want 1", n)
	}
}

// TestExchangeLogIsBounded guards against a log that grows with every request of a bad day, and
// against lines that are dropped without a trace.
func TestExchangeLogIsBounded(t *testing.T) {
	const calls = 1000
	var text bytes.Buffer
	l := newExchangeLog(slog.New(slog.NewTextHandler(&text, nil)))
	r := &Request{ExternalID: "n"}
	for range calls {
		l.requestEnded(0, r, Result{Kind: Refused})
	}
	if lines := strings.Count(text.String(), "\n"); lines < exchangeLogBurst || lines > 2*exchangeLogBurst {
		t.Errorf("%d lines of %d, want about %d", lines, calls, exchangeLogBurst)
	}
	l.limiter.SetBurst(calls)
	l.limiter.SetLimit(calls * calls)
	time.Sleep(10 * time.Millisecond)
	text.Reset()
	l.requestEnded(0, r, Result{Kind: Refused})
	if !strings.Contains(text.String(), "dropped=9") {
		t.Errorf("the next line does not tell how many were dropped: %s", text.String())
	}
}
