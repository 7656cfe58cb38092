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

// Replay is the Source of a trace.
type Replay struct {
	r       *trace.Reader
	speed   float64
	classes map[string]int
	last    time.Duration
	n       int // entries read
	next    *Request
	err     error

	// ClassCounts is how many of each class were told so far, and Statuses the recorded answers by class and status.
	ClassCounts map[string]int
	Statuses    map[string]map[int]int
	Retries     int
}

// NewReplay returns the Source of a trace whose entries are of some of classes, and so many times as fast. The trace is read as it is told.
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

// TraceClasses returns the classes that a trace has, with the method of the first entry of each, for a replay. It reads the trace to its end.
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
			if len(classes) == mostClasses {
				return nil, 0, fmt.Errorf("over %d classes", mostClasses)
			}
			classes = append(classes, Class{Name: e.Class, Method: e.Method, Share: 1, Timeout: timeout})
		}
	}
}

// read reads the next request.
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
		if r.Key == "" && e.Method != http.MethodGet && e.Method != http.MethodHead { // none was logged: a retry has that of its first
			r.Key = fmt.Sprint("trace-", p.n)
			if e.RetryOf > 0 {
				r.Key = fmt.Sprint("trace-", e.RetryOf)
			}
		}
		if r.Body == "" && e.Size > 0 {
			r.Body = strings.Repeat("x", int(min(e.Size, mostSize)))
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

// Next is a method of Source.
func (p *Replay) Next() (Request, bool) {
	if p.next == nil {
		return Request{}, false
	}
	r := *p.next
	p.read()
	return r, true
}

// Length is a method of Source: until the latest request that was told.
func (p *Replay) Length() time.Duration { return p.last }

// Err returns what ended the trace before its end.
func (p *Replay) Err() error { return p.err }

// Comparison holds a replay beside its trace.
type Comparison struct {
	MixDifference map[string]float64     `json:"class_mix_difference"` // of sent and recorded, in percentage points
	MaxDifference float64                `json:"most_difference"`
	Retries       [2]int                 `json:"retries"`                 // sent, recorded
	Statuses      map[string]map[int]int `json:"recorded_statuses"`       // by class
	ArrivalError  *Histogram             `json:"arrival_error,omitempty"` // of what was sent
}

// Compare holds a report beside what was told of its trace.
func (p *Replay) Compare(rep *Report) Comparison {
	c := Comparison{MixDifference: map[string]float64{}, Statuses: p.Statuses, ArrivalError: rep.Lag}
	sent, told := 0, 0
	for _, t := range rep.Classes {
		sent += t.Tries
		c.Retries[0] += t.Retries
	}
	for _, n := range p.ClassCounts {
		told += n
	}
	c.Retries[1] = p.Retries
	for name, n := range p.ClassCounts {
		got := 0
		if t := rep.Classes[name]; t != nil {
			got = t.Tries
		}
		c.MixDifference[name] = 100 * (float64(got)/max(float64(sent), 1) - float64(n)/max(float64(told), 1))
		c.MaxDifference = max(c.MaxDifference, math.Abs(c.MixDifference[name]))
	}
	return c
}
