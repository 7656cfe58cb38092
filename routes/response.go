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

// Verdict is what an answer of a server comes to.
type Verdict int

// The verdicts.
const (
	Final   Verdict = iota // it goes to the client as it is
	Interim                // RFC 9110, section 15.2: it goes on, and another one follows
	Failure                // the server has failed: another may be asked where the rules allow it; the last such answer goes to the client
	NotRun                 // the server proves that nothing ran: another may be asked whatever the request does
	Invalid                // it is no answer that a client could be given
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"final", "interim", "failure", "not run", "spoilt"}[v]
}

// Statuses is a set of codes, such as "404", "500-503" and "5xx".
type Statuses []StatusRange

// StatusRange is the codes from First to Last.
type StatusRange struct{ First, Last int }

// ParseStatuses reads a set of codes. The error names the one at fault.
func ParseStatuses(list []string) (Statuses, error) {
	var all Statuses
	for _, text := range list {
		r, err := parseRange(text)
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

func parseRange(text string) (StatusRange, error) {
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
		return StatusRange{}, fmt.Errorf("%q is no status from 200 to 599, range such as \"500-503\" or class such as \"5xx\"", text)
	}
	return StatusRange{first, last}, nil
}

// Has reports whether code is in the set.
func (s Statuses) Has(code int) bool {
	return slices.ContainsFunc(s, func(r StatusRange) bool { return r.First <= code && code <= r.Last })
}

// String lists the set.
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

// ResponseRules says how a route's answers are judged. What no set names is final.
type ResponseRules struct {
	// Failure are the codes that count as a failure of the server; 5xx.
	Failure Statuses
	// NotRun are the codes that prove that nothing ran if Mark comes with them; 429 and 503. With Mark empty they prove it alone,
	// which is for servers that turn work away before they look at it, and wrong for all others: the effect of an unsafe
	// request could take place twice.
	NotRun         Statuses
	NotRunHeader   string // a header's name; X-Not-Processed
	NotRunByStatus bool   // Mark is not asked for
	// RetryAfter says what a Retry-After beside a failure or a refusal means for the server.
	RetryAfter RetryAfterPolicy
}

// RetryAfterPolicy is what a server's Retry-After means.
type RetryAfterPolicy int

// What a Retry-After may mean.
const (
	ForwardRetryAfter RetryAfterPolicy = iota // it goes to the client with the last answer, and nothing else follows
	AvoidServer                               // the server is left alone for as long, up to MostBack
)

// MaxAvoid bounds for how long a server may have itself left alone: nothing that a peer says is believed for longer.
const MaxAvoid = time.Minute

// DefaultNotRunHeader is the header by which servers prove that nothing ran.
const DefaultNotRunHeader = "X-Not-Processed"

// WithDefaults fills in what is not set, and returns what is wrong.
func (a ResponseRules) WithDefaults() (ResponseRules, error) {
	if a.Failure == nil {
		a.Failure = Statuses{{500, 599}}
	}
	if a.NotRun == nil {
		a.NotRun = Statuses{{429, 429}, {503, 503}}
	}
	switch {
	case a.NotRunByStatus && a.NotRunHeader != "":
		return a, errors.New("a mark is named, and is not to be asked for")
	case !a.NotRunByStatus && a.NotRunHeader == "":
		a.NotRunHeader = DefaultNotRunHeader
	}
	return a, nil
}

// Evaluation is a verdict with what follows from it.
type Evaluation struct {
	Verdict    Verdict
	AvoidFor   time.Duration // the server is left alone for as long
	RetryAfter time.Duration // the client may be told to come back after it
}

// Evaluate judges an answer's head. header returns all values of a header. now is the wall clock, for a Retry-After that names a
// date.
func (a ResponseRules) Evaluate(code int, header func(name string) []string, now time.Time) Evaluation {
	var j Evaluation
	switch {
	case code == http.StatusSwitchingProtocols: // none was asked for
		j.Verdict = Invalid
	case code >= 100 && code < 200:
		j.Verdict = Interim
	case code < 100 || code > 599:
		j.Verdict = Invalid
	case a.NotRun.Has(code) && (a.NotRunByStatus || marked(header(a.NotRunHeader))):
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

// marked reports whether a mark is set: one value, which is 1 or true.
func marked(values []string) bool {
	return len(values) == 1 && (values[0] == "1" || strings.EqualFold(values[0], "true"))
}

// RetryAfter reads the field of that name (RFC 9110, section 10.2.3): whole seconds or a date. Several values, of which each reader
// might take another one, and what cannot be read, say nothing. It is never negative.
func RetryAfter(values []string, now time.Time) (after time.Duration, ok bool) {
	if len(values) != 1 {
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if text != "" && strings.Trim(text, "0123456789") == "" {
		seconds, err := strconv.ParseInt(text, 10, 32)
		if err != nil { // more digits than make sense: as long as may be told
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

// HasBody reports whether an answer to a request of that method may have a body (RFC 9110, section 6.4.1): its length and coding say
// nothing of what follows where it may not.
func HasBody(method string, code int) bool {
	return method != http.MethodHead && code >= 200 && code != http.StatusNoContent && code != http.StatusNotModified
}

// mostVia bounds the hops that a request may have behind it. A loop that passes through others who do not say so ends by it.
const mostVia = 32

// ErrLoop tells that a request has come through this instance before, or through too many.
var ErrLoop = errors.New("the request goes round in a loop")

// CheckVia returns ErrLoop if the lines of Via (RFC 9110, section 7.6.3) name self, the pseudonym of this instance, or more than
// mostVia hops.
func CheckVia(lines []string, self string) error {
	hops := 0
	for _, line := range lines {
		for hop := range strings.SplitSeq(line, ",") {
			// received-protocol RWS received-by [ RWS comment ]
			f := strings.Fields(hop)
			if len(f) == 0 {
				continue
			}
			if hops++; hops > mostVia || len(f) > 1 && f[1] == self {
				return ErrLoop
			}
		}
	}
	return nil
}
