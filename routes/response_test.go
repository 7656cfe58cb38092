package routes

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEvaluate checks the evaluation of responses by the default rules and by custom ones.
func TestEvaluate(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	defaults, err := ResponseRules{}.WithDefaults()
	if err != nil {
		t.Fatal(err)
	}
	custom, err := ResponseRules{Failure: Statuses{{404, 404}, {500, 501}}, NotRun: Statuses{{429, 429}}, NotRunByStatus: true, RetryAfter: AvoidServer}.WithDefaults()
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		rules      ResponseRules
		code       int
		lines      string // of the head
		want       Verdict
		retryAfter time.Duration
		avoidFor   time.Duration
	}{
		{defaults, 100, "", Interim, 0, 0},
		{defaults, 103, "", Interim, 0, 0},
		{defaults, 101, "", Invalid, 0, 0},
		{defaults, 99, "", Invalid, 0, 0},
		{defaults, 600, "", Invalid, 0, 0},
		{defaults, 200, "", Final, 0, 0},
		{defaults, 204, "", Final, 0, 0},
		{defaults, 206, "", Final, 0, 0},
		{defaults, 304, "", Final, 0, 0},
		{defaults, 404, "Retry-After: 9", Final, 0, 0},
		{defaults, 429, "", Final, 0, 0},
		{defaults, 429, "X-Not-Processed: 1", NotRun, 0, 0},
		{defaults, 429, "X-Not-Processed: 1\nX-Not-Processed: 1", Final, 0, 0},
		{defaults, 500, "X-Not-Processed: 1", Failure, 0, 0},
		{defaults, 503, "X-Not-Processed: 0\nRetry-After: 7", Failure, 7 * time.Second, 0},
		{defaults, 503, "X-Not-Processed: true\nRetry-After: Wed, 04 Mar 2026 05:06:10 GMT", NotRun, 3 * time.Second, 0},
		{custom, 404, "Retry-After: 4", Failure, 4 * time.Second, 4 * time.Second},
		{custom, 500, "Retry-After: 86000", Failure, 86000 * time.Second, MaxAvoid},
		{custom, 503, "", Final, 0, 0},
		{custom, 429, "", NotRun, 0, 0},
	} {
		h := http.Header{}
		for line := range strings.SplitSeq(tt.lines, "\n") {
			if name, value, ok := strings.Cut(line, ": "); ok {
				h.Add(name, value)
			}
		}
		if got := tt.rules.Evaluate(tt.code, h.Values, now); got != (Evaluation{tt.want, tt.avoidFor, tt.retryAfter}) {
			t.Errorf("%d with %q: %v, want verdict %v, retry after %v, avoid for %v", tt.code, tt.lines, got, tt.want, tt.retryAfter, tt.avoidFor)
		}
	}
	if _, err := (ResponseRules{NotRunByStatus: true, NotRunHeader: "X"}).WithDefaults(); err == nil {
		t.Error("NotRunHeader together with NotRunByStatus was accepted")
	}
}

// TestRetryAfter checks valid values of Retry-After in all date formats, and that invalid and
// repeated values are ignored.
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
			t.Errorf("%q was parsed as %v", values, got)
		}
	}
}

// TestStatuses checks that sets of status codes are parsed and formatted, and that an error names
// the invalid element.
func TestStatuses(t *testing.T) {
	s, err := ParseStatuses([]string{"404", "5xx", "420-429"})
	if err != nil || s.String() != "404, 5xx, 420-429" {
		t.Fatal(s, err)
	}
	for code, want := range map[int]bool{404: true, 403: false, 500: true, 599: true, 419: false, 420: true, 429: true, 430: false} {
		if s.Has(code) != want {
			t.Errorf("Has(%d) = %v", code, !want)
		}
	}
	for _, bad := range [][]string{{"1xx"}, {"6xx"}, {"xx"}, {"199"}, {"600"}, {"503-500"}, {"5x"}, {""}, {"-"}, {"500-"}, {"404", "4xx"}} {
		if s, err := ParseStatuses(bad); err == nil || !strings.Contains(err.Error(), bad[len(bad)-1]) {
			t.Errorf("%q: %v, %v; want an error that names the last element", bad, s, err)
		}
	}
}

// TestHasBody checks which responses may have a body, by method and status code.
func TestHasBody(t *testing.T) {
	for _, tt := range []struct {
		method string
		code   int
		want   bool
	}{{"GET", 200, true}, {"HEAD", 200, false}, {"GET", 204, false}, {"GET", 304, false}, {"GET", 206, true}, {"GET", 103, false}, {"POST", 404, true}} {
		if got := HasBody(tt.method, tt.code); got != tt.want {
			t.Errorf("HasBody(%s, %d) = %v", tt.method, tt.code, got)
		}
	}
}

// TestCheckVia checks that a request which has passed through this instance is detected in any
// notation of Via, and so is one that has passed too many hops.
func TestCheckVia(t *testing.T) {
	for _, lines := range [][]string{
		{"1.1 qf-7"}, {"1.0 fred, 1.1 qf-7 (Apache/1.1)"}, {"1.0 fred", "HTTP/1.1 qf-7"}, {strings.Repeat("1.1 a,", 33)},
	} {
		if err := CheckVia(lines, "qf-7"); !errors.Is(err, ErrLoop) {
			t.Errorf("%q: %v, want ErrLoop", lines, err)
		}
	}
	for _, lines := range [][]string{nil, {""}, {"1.1 qf-77"}, {"1.1 other (qf-7)"}, {"qf-7"}, {strings.Repeat("1.1 a,", 32)}} {
		if err := CheckVia(lines, "qf-7"); err != nil {
			t.Errorf("%q: %v, want no error", lines, err)
		}
	}
}
