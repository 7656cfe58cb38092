package routes

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verdict is the outcome of evaluating a server's response.
type Verdict int

// The possible verdicts.
const (
	// Final: the response is forwarded to the client unchanged.
	Final Verdict = iota
	// Interim: an informational response (RFC 9110, section 15.2). It is forwarded, and another
	// response follows.
	Interim
	// Failure: the server has failed. The request may be retried on another server where the rules
	// allow it; the last such response goes to the client.
	Failure
	// NotRun: the server proves that the request was not executed, so that it may be retried on
	// another server whatever its effect is.
	NotRun
	// Invalid: the response cannot be given to a client.
	Invalid
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"final", "interim", "failure", "not run", "spoilt"}[v]
}

// Statuses is a set of status codes, written for example as "404", "500-503" and "5xx".
type Statuses []StatusRange

// StatusRange is the range of status codes from First to Last, both included.
type StatusRange struct{ First, Last int }

// ParseStatuses parses a set of status codes. The error names the invalid element.
func ParseStatuses(list []string) (Statuses, error) {
	var all Statuses
	for _, text := range list {
		r, err := parseStatusRange(text)
		if err != nil {
			return nil, err
		}
		if i := slices.IndexFunc(all, func(o StatusRange) bool { return r.First <= o.Last && o.First <= r.Last }); i >= 0 {
			return nil, fmt.Errorf("%q overlaps with %q", text, list[i])
		}
		all = append(all, r)
	}
	return all, nil
}

func parseStatusRange(text string) (StatusRange, error) {
	if digit, whole := strings.CutSuffix(text, "xx"); whole && len(digit) == 1 && digit >= "2" && digit <= "5" {
		first := int(digit[0]-'0') * 100
		return StatusRange{first, first + 99}, nil
	}
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	first, err1 := strconv.Atoi(from)
	last, err2 := strconv.Atoi(to)
	if err1 != nil || err2 != nil || first < 200 || last > 599 || first > last {
		return StatusRange{}, fmt.Errorf("%q is not a status from 200 to 599, a range such as \"500-503\" or a class such as \"5xx\"", text)
	}
	return StatusRange{first, last}, nil
}

// Has reports whether the set contains code.
func (s Statuses) Has(code int) bool {
	return slices.ContainsFunc(s, func(r StatusRange) bool { return r.First <= code && code <= r.Last })
}

// String returns the elements of the set in the notation of ParseStatuses, separated by commas.
func (s Statuses) String() string {
	var all []string
	for _, r := range s {
		switch {
		case r.First == r.Last:
			all = append(all, strconv.Itoa(r.First))
		case r.First%100 == 0 && r.Last == r.First+99:
			all = append(all, strconv.Itoa(r.First/100)+"xx")
		default:
			all = append(all, fmt.Sprintf("%d-%d", r.First, r.Last))
		}
	}
	return strings.Join(all, ", ")
}

// ResponseRules says how the responses to a route's requests are evaluated. A status that is in
// neither set is final.
type ResponseRules struct {
	// Failure holds the status codes that count as a failure of the server. The default is 5xx.
	Failure Statuses
	// NotRun holds the status codes that, together with NotRunHeader, prove that the request was
	// not executed. The default is 429 and 503. With NotRunByStatus the status alone is the proof,
	// which suits servers that reject requests before they look at them. It is wrong for all other
	// servers: the effect of an unsafe request could take place twice.
	NotRun         Statuses
	NotRunHeader   string // the name of a header; the default is X-Not-Processed
	NotRunByStatus bool   // NotRunHeader is not required
	// RetryAfter says what a Retry-After header of a failure or a rejection means for the server.
	RetryAfter RetryAfterPolicy
}

// RetryAfterPolicy says how a server's Retry-After header is used.
type RetryAfterPolicy int

// The possible uses of a Retry-After header.
const (
	// ForwardRetryAfter forwards it to the client with the last response and does nothing else.
	ForwardRetryAfter RetryAfterPolicy = iota
	// AvoidServer also sends the server no requests for that time, up to MaxAvoid.
	AvoidServer
)

// MaxAvoid limits how long a Retry-After header can keep requests away from a server. No claim of a
// peer is trusted for longer.
const MaxAvoid = time.Minute

// DefaultNotRunHeader is the header by which servers prove that a request was not executed.
const DefaultNotRunHeader = "X-Not-Processed"

// WithDefaults returns a with its unset fields filled in, and an error if its fields contradict
// each other.
func (a ResponseRules) WithDefaults() (ResponseRules, error) {
	if a.Failure == nil {
		a.Failure = Statuses{{500, 599}}
	}
	if a.NotRun == nil {
		a.NotRun = Statuses{{429, 429}, {503, 503}}
	}
	switch {
	case a.NotRunByStatus && a.NotRunHeader != "":
		return a, errors.New("a mark and bare are both set")
	case !a.NotRunByStatus && a.NotRunHeader == "":
		a.NotRunHeader = DefaultNotRunHeader
	}
	return a, nil
}

// Evaluation is the verdict on a response and its consequences.
type Evaluation struct {
	Verdict    Verdict
	AvoidFor   time.Duration // how long to send the server no requests
	RetryAfter time.Duration // the wait that the client may be told
}

// Evaluate evaluates the head of a response. header returns all values of a header. now is the wall
// clock time, which a Retry-After header with a date is compared with.
func (a ResponseRules) Evaluate(code int, header func(name string) []string, now time.Time) Evaluation {
	var j Evaluation
	switch {
	case code == http.StatusSwitchingProtocols: // never requested
		j.Verdict = Invalid
	case code >= 100 && code < 200:
		j.Verdict = Interim
	case code < 100 || code > 599:
		j.Verdict = Invalid
	case a.NotRun.Has(code) && (a.NotRunByStatus || isSet(header(a.NotRunHeader))):
		j.Verdict = NotRun
	case a.Failure.Has(code):
		j.Verdict = Failure
	}
	if j.Verdict == Failure || j.Verdict == NotRun {
		if after, ok := RetryAfter(header("Retry-After"), now); ok {
			j.RetryAfter = after
			if a.RetryAfter == AvoidServer {
				j.AvoidFor = min(after, MaxAvoid)
			}
		}
	}
	return j
}

// isSet reports whether the values of a header are exactly one, which is "1" or "true".
func isSet(values []string) bool {
	return len(values) == 1 && (values[0] == "1" || strings.EqualFold(values[0], "true"))
}

// RetryAfter parses a Retry-After header (RFC 9110, section 10.2.3): whole seconds or a date.
// Several values are ignored, because readers could choose different ones, and so are invalid
// values. The result is between 0 and 24 hours.
func RetryAfter(values []string, now time.Time) (after time.Duration, ok bool) {
	if len(values) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if text != "" && strings.Trim(text, "0123456789") == "" {
		seconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil { // out of range: use the maximum
			seconds = int64(24 * time.Hour / time.Second)
		}
		return min(time.Duration(seconds)*time.Second, 24*time.Hour), true
	}
	at, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	return min(max(at.Sub(now), 0), 24*time.Hour), true
}

// HasBody reports whether a response with status code to a request with that method may have a body
// (RFC 9110, section 6.4.1). Where it may not, Content-Length and Transfer-Encoding do not describe
// the bytes that follow.
func HasBody(method string, code int) bool {
	return method != http.MethodHead && code >= 200 && code != http.StatusNoContent && code != http.StatusNotModified
}

// maxViaHops limits the hops that a request may have passed. It also ends a loop through
// intermediaries that do not identify themselves in Via.
const maxViaHops = 32

// ErrLoop reports that a request has passed through this instance before, or through too many hops.
var ErrLoop = errors.New("the request goes round in a loop")

// CheckVia returns ErrLoop if the lines of Via (RFC 9110, section 7.6.3) contain self, the
// pseudonym of this instance, or more than maxViaHops hops.
func CheckVia(lines []string, self string) error {
	hops := 0
	for _, line := range lines {
		for hop := range strings.SplitSeq(line, ",") {
			// received-protocol RWS received-by [ RWS comment ]
			f := strings.Fields(hop)
			if len(f) == 0 {
				continue
			}
			if hops++; hops > maxViaHops || len(f) > 1 && f[1] == self {
				return ErrLoop
			}
		}
	}
	return nil
}
