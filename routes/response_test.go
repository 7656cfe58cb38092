package routes

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestJudge: what an answer comes to, by default and as a route has it.
func TestJudge(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	usual, err := ResponseRules{}.WithDefaults()
	if err != nil {
		t.Fatal(err)
	}
	own, err := ResponseRules{Failure: Statuses{{404, 404}, {500, 501}}, NotRun: Statuses{{429, 429}}, NotRunByStatus: true, RetryAfter: AvoidServer}.WithDefaults()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		a     ResponseRules
		code  int
		lines string // of the head
		want  Verdict
		tell  time.Duration
		avoid time.Duration
	}{
		{usual, 100, "", Interim, 0, 0},
		{usual, 103, "", Interim, 0, 0},
		{usual, 101, "", Invalid, 0, 0},
		{usual, 99, "", Invalid, 0, 0},
		{usual, 600, "", Invalid, 0, 0},
		{usual, 200, "", Final, 0, 0},
		{usual, 204, "", Final, 0, 0},
		{usual, 206, "", Final, 0, 0},
		{usual, 304, "", Final, 0, 0},
		{usual, 404, "Retry-After: 9", Final, 0, 0},
		{usual, 429, "", Final, 0, 0},
		{usual, 429, "X-Not-Processed: 1", NotRun, 0, 0},
		{usual, 429, "X-Not-Processed: 1\nX-Not-Processed: 1", Final, 0, 0},
		{usual, 500, "X-Not-Processed: 1", Failure, 0, 0},
		{usual, 503, "X-Not-Processed: 0\nRetry-After: 7", Failure, 7 * time.Second, 0},
		{usual, 503, "X-Not-Processed: true\nRetry-After: Wed, 04 Mar 2026 05:06:10 GMT", NotRun, 3 * time.Second, 0},
		{own, 404, "Retry-After: 4", Failure, 4 * time.Second, 4 * time.Second},
		{own, 500, "Retry-After: 86000", Failure, 86000 * time.Second, MaxAvoid},
		{own, 503, "", Final, 0, 0},
		{own, 429, "", NotRun, 0, 0},
	} {
		h := http.Header{}
		for line := range strings.SplitSeq(tt.lines, "\n") {
			if name, value, ok := strings.Cut(line, ": "); ok {
				h.Add(name, value)
			}
		}
		if got := tt.a.Evaluate(tt.code, h.Values, now); got != (Evaluation{tt.want, tt.avoid, tt.tell}) {
			t.Errorf("%d with %q: %v, want %v, %v and %v", tt.code, tt.lines, got, tt.want, tt.tell, tt.avoid)
		}
	}
	if _, err := (ResponseRules{NotRunByStatus: true, NotRunHeader: "X"}).WithDefaults(); err == nil {
		t.Error("a mark that is not asked for is taken")
	}
}

// TestRetryAfter: what the field says, whoever wrote it.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		"0": 0, " 12 ": 12 * time.Second, "99999999999999999999": 24 * time.Hour, "Wed, 04 Mar 2026 05:06:00 GMT": 0,
		"Wednesday, 04-Mar-26 05:06:17 GMT": 10 * time.Second, "Wed Mar  4 05:07:07 2026": time.Minute, "Wed, 04 Mar 2099 05:06:00 GMT": 24 * time.Hour,
	} {
		if got, ok := RetryAfter([]string{text}, now); !ok || got != want {
			t.Errorf("%q: %v, %v, want %v", text, got, ok, want)
		}
	}
	for _, values := range [][]string{nil, {""}, {"-1"}, {"1.5"}, {"soon"}, {"1", "2"}, {"0x10"}, {"١"}} {
		if got, ok := RetryAfter(values, now); ok {
			t.Errorf("%q is read as %v", values, got)
		}
	}
}

// TestStatuses: sets of codes are read and written, and what is none is named.
func TestStatuses(t *testing.T) {
	s, err := ParseStatuses([]string{"404", "5xx", "420-429"})
	if err != nil || s.String() != "404, 5xx, 420-429" {
		t.Fatal(s, err)
	}
	for code, want := range map[int]bool{404: true, 403: false, 500: true, 599: true, 419: false, 420: true, 429: true, 430: false} {
		if s.Has(code) != want {
			t.Errorf("%d: %v", code, !want)
		}
	}
	for _, bad := range [][]string{{"1xx"}, {"6xx"}, {"xx"}, {"199"}, {"600"}, {"503-500"}, {"5x"}, {""}, {"-"}, {"500-"}, {"404", "4xx"}} {
		if s, err := ParseStatuses(bad); err == nil || !strings.Contains(err.Error(), bad[len(bad)-1]) {
			t.Errorf("%q: %v, %v", bad, s, err)
		}
	}
}

// TestHasBody: which answers have one.
func TestHasBody(t *testing.T) {
	for _, tt := range []struct {
		method string
		code   int
		want   bool
	}{{"GET", 200, true}, {"HEAD", 200, false}, {"GET", 204, false}, {"GET", 304, false}, {"GET", 206, true}, {"GET", 103, false}, {"POST", 404, true}} {
		if got := HasBody(tt.method, tt.code); got != tt.want {
			t.Errorf("%s %d: %v", tt.method, tt.code, got)
		}
	}
}

// TestVia: a request that has been here is known by it, however its hops are written, and so is one with too many.
func TestVia(t *testing.T) {
	for _, lines := range [][]string{
		{"1.1 qf-7"}, {"1.0 fred, 1.1 qf-7 (Apache/1.1)"}, {"1.0 fred", "HTTP/1.1 qf-7"}, {strings.Repeat("1.1 a,", 33)},
	} {
		if err := CheckVia(lines, "qf-7"); !errors.Is(err, ErrLoop) {
			t.Errorf("%q: %v", lines, err)
		}
	}
	for _, lines := range [][]string{nil, {""}, {"1.1 qf-77"}, {"1.1 other (qf-7)"}, {"qf-7"}, {strings.Repeat("1.1 a,", 32)}} {
		if err := CheckVia(lines, "qf-7"); err != nil {
			t.Errorf("%q: %v", lines, err)
		}
	}
}
