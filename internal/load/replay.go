package load

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"quillfront/internal/trace"
)

// Replay is a Source that replays a trace.
type Replay struct {
	r       *trace.Reader
	speed   float64
	classes map[string]int
	last    time.Duration
	n       int // entries read
	next    *Request
	err     error

	// ClassCounts counts the requests returned so far by class, and Statuses the recorded responses
	// by class and status.
	ClassCounts map[string]int
	Statuses    map[string]map[int]int
	Retries     int
}

// NewReplay returns a Replay of the trace entries that belong to one of classes, at speed times the
// recorded speed. The trace is read incrementally.
func NewReplay(in io.Reader, classes []Class, speed float64) (*Replay, error) {
	if !(speed > 0 && speed <= 1000) {
		return nil, fmt.Errorf("speed: %v is outside 0 to 1000", speed)
	}
	r, err := trace.NewReader(in)
	if err != nil {
		return nil, err
	}
	p := &Replay{r: r, speed: speed, classes: map[string]int{}, ClassCounts: map[string]int{}, Statuses: map[string]map[int]int{}}
	for i, c := range classes {
		p.classes[c.Name] = i
	}
	p.read()
	return p, nil
}

// TraceClasses returns the classes of a trace for a replay, each with the method of its first
// entry, and the time of the last entry. It reads the trace to its end.
func TraceClasses(in io.Reader, timeout time.Duration) ([]Class, time.Duration, error) {
	r, err := trace.NewReader(in)
	if err != nil {
		return nil, 0, err
	}
	var classes []Class
	var last time.Duration
	for {
		e, err := r.Next()
		if err == io.EOF {
			slices.SortFunc(classes, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
			return classes, last, nil
		}
		if err != nil {
			return nil, 0, err
		}
		last = time.Duration(e.At) * time.Microsecond
		if !slices.ContainsFunc(classes, func(c Class) bool { return c.Name == e.Class }) {
			if len(classes) == maxClasses {
				return nil, 0, fmt.Errorf("over %d classes", maxClasses)
			}
			classes = append(classes, Class{Name: e.Class, Method: e.Method, Share: 1, Timeout: timeout})
		}
	}
}

// read reads the next request into p.next; nil at the end or on an error.
func (p *Replay) read() {
	p.next = nil
	for {
		e, err := p.r.Next()
		if err != nil {
			if err != io.EOF {
				p.err = err
			}
			return
		}
		p.n++
		class, ok := p.classes[e.Class]
		if !ok {
			continue
		}
		r := &Request{
			At: time.Duration(float64(e.At)/p.speed) * time.Microsecond, Class: class, Method: e.Method, Path: e.Path, Key: e.Key, Tenant: e.Tenant, Body: string(e.Body),
			Cost: time.Duration(e.Cost) * time.Microsecond, RetryOf: e.RetryOf,
		}
		// If no key was logged, a retry shares the generated key of its first try.
		if r.Key == "" && e.Method != http.MethodGet && e.Method != http.MethodHead {
			r.Key = fmt.Sprint("trace-", p.n)
			if e.RetryOf > 0 {
				r.Key = fmt.Sprint("trace-", e.RetryOf)
			}
		}
		if r.Body == "" && e.Size > 0 {
			r.Body = strings.Repeat("x", int(min(e.Size, maxBodySize)))
		}
		p.ClassCounts[e.Class]++
		if e.RetryOf != 0 {
			p.Retries++
		}
		if e.Status != 0 {
			m := p.Statuses[e.Class]
			if m == nil {
				m = map[int]int{}
				p.Statuses[e.Class] = m
			}
			m[e.Status]++
		}
		p.next, p.last = r, r.At
		return
	}
}

// Next implements Source.
func (p *Replay) Next() (Request, bool) {
	if p.next == nil {
		return Request{}, false
	}
	r := *p.next
	p.read()
	return r, true
}

// Length implements Source. It is the time of the latest request that was returned.
func (p *Replay) Length() time.Duration { return p.last }

// Err returns the error that ended the replay early, if any.
func (p *Replay) Err() error { return p.err }

// Comparison compares a replay with its trace.
type Comparison struct {
	// MixDifference is the sent minus the recorded share of each class, in percentage points.
	MixDifference map[string]float64     `json:"class_mix_difference"`
	MaxDifference float64                `json:"most_difference"`
	Retries       [2]int                 `json:"retries"`                 // sent, recorded
	Statuses      map[string]map[int]int `json:"recorded_statuses"`       // by class
	ArrivalError  *Histogram             `json:"arrival_error,omitempty"` // schedule lag
}

// Compare compares a report with the trace entries that were replayed.
func (p *Replay) Compare(rep *Report) Comparison {
	c := Comparison{MixDifference: map[string]float64{}, Statuses: p.Statuses, ArrivalError: rep.Lag}
	sent, recorded := 0, 0
	for _, t := range rep.Classes {
		sent += t.Tries
		c.Retries[0] += t.Retries
	}
	for _, n := range p.ClassCounts {
		recorded += n
	}
	c.Retries[1] = p.Retries
	for name, n := range p.ClassCounts {
		got := 0
		if t := rep.Classes[name]; t != nil {
			got = t.Tries
		}
		c.MixDifference[name] = 100 * (float64(got)/max(float64(sent), 1) - float64(n)/max(float64(recorded), 1))
		c.MaxDifference = max(c.MaxDifference, math.Abs(c.MixDifference[name]))
	}
	return c
}
