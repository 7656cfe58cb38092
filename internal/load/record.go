package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a try ended.
type Outcome string

// The outcomes.
const (
	Served        Outcome = "served"    // 2xx
	Redirected    Outcome = "redirect"  // 3xx
	Rejected      Outcome = "rejected"  // 4xx
	Refused       Outcome = "refused"   // 503 or 429
	Failed        Outcome = "failed"    // other 5xx
	ConnectFailed Outcome = "unreached" // no connection
	Interrupted   Outcome = "broken"    // the answer was cut off
	TimedOut      Outcome = "timed out"
	Unsent        Outcome = "unsent" // not sent: too late, or too many were open
)

const (
	leastUs = 1
	mostUs  = int64(2 * time.Minute / time.Microsecond)
	figures = 3
)

// Histogram is a distribution of times. Its text in JSON holds all of it. One at rest may be packed, which takes a small part of the room.
type Histogram struct {
	h      *hdrhistogram.Histogram
	packed []byte // in place of h
}

func newHistogram() *Histogram { return &Histogram{} }

func (h *Histogram) open() *hdrhistogram.Histogram {
	if h.h != nil {
		return h.h
	}
	if h.packed != nil {
		if d, err := hdrhistogram.Decode(h.packed); err == nil {
			h.h, h.packed = d, nil
			return d
		}
	}
	h.h = hdrhistogram.New(leastUs, mostUs, figures)
	return h.h
}

// pack makes h small until it is used again.
func (h *Histogram) pack() {
	if h.h == nil {
		return
	}
	if h.h.TotalCount() == 0 {
		h.h = nil
	} else if b, err := h.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		h.h, h.packed = nil, b
	}
}

// Record adds a time; one beyond two minutes counts as that.
func (h *Histogram) Record(d time.Duration) {
	h.open().RecordValue(min(max(d.Microseconds(), leastUs), mostUs))
}

// Count returns how many times there are.
func (h *Histogram) Count() int64 {
	if h == nil || h.h == nil && h.packed == nil {
		return 0
	}
	return h.open().TotalCount()
}

// Percentile returns the time within which a percentage of them lies.
func (h *Histogram) Percentile(percent float64) time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return time.Duration(h.open().ValueAtQuantile(percent)) * time.Microsecond
}

// Merge adds another distribution.
func (h *Histogram) Merge(o *Histogram) {
	if o.Count() > 0 {
		h.open().Merge(o.open())
	}
}

type histogramText struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
	HDR   string  `json:"hdr"`
}

// MarshalJSON is the method of json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	t := histogramText{Count: h.Count(), P50: ms(h.Percentile(50)), P90: ms(h.Percentile(90)), P99: ms(h.Percentile(99)), P999: ms(h.Percentile(99.9)), Max: ms(h.Percentile(100))}
	text, err := h.open().Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	t.HDR = string(text)
	h.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(t)
}

// UnmarshalJSON is the method of json.Unmarshaler.
func (h *Histogram) UnmarshalJSON(b []byte) error {
	var t histogramText
	if err := json.Unmarshal(b, &t); err != nil {
		return err
	}
	d, err := hdrhistogram.Decode([]byte(t.HDR))
	if err != nil {
		return fmt.Errorf("hdr: %w", err)
	}
	h.h, h.packed = d, nil
	return nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Stats is what became of some tries.
type Stats struct {
	FirstTries int             `json:"first"`   // first tries that were due
	Tries      int             `json:"tries"`   // that were sent
	Retries    int             `json:"retries"` // of them, by the clients
	Outcomes   map[Outcome]int `json:"outcomes"`
	Statuses   map[int]int     `json:"statuses,omitempty"`
	Answered   int             `json:"answered"`  // clients that were served, by whichever try
	Corrected  *Histogram      `json:"corrected"` // of those, from when the first try was to be sent
	Raw        *Histogram      `json:"raw"`       // of tries that were served, from when each was sent
}

func newTally() *Stats {
	return &Stats{Outcomes: map[Outcome]int{}, Statuses: map[int]int{}, Corrected: newHistogram(), Raw: newHistogram()}
}

func (t *Stats) merge(o *Stats) {
	t.FirstTries += o.FirstTries
	t.Tries += o.Tries
	t.Retries += o.Retries
	t.Answered += o.Answered
	for k, n := range o.Outcomes {
		t.Outcomes[k] += n
	}
	for k, n := range o.Statuses {
		t.Statuses[k] += n
	}
	t.Corrected.Merge(o.Corrected)
	t.Raw.Merge(o.Raw)
}

// Window is a part of a run, by when first tries were due.
type Window struct {
	StartS          float64           `json:"from_s"`
	Trusted         bool              `json:"trusted"`
	UntrustedReason string            `json:"why,omitempty"` // it is not
	Lag             *Histogram        `json:"lag"`           // from when a first try was due to when it was sent
	Late            int               `json:"late"`          // first tries that were not sent, as they were too late
	OverLimit       int               `json:"full"`          // that were not sent, as too many were open
	Pauses          int               `json:"pauses"`        // of this process
	MaxPauseMs      float64           `json:"paused_ms"`     // the longest
	Classes         map[string]*Stats `json:"classes"`
}

func newWindow(from time.Duration) *Window {
	return &Window{StartS: from.Seconds(), Lag: newHistogram(), Classes: map[string]*Stats{}}
}

func (w *Window) class(name string) *Stats {
	t := w.Classes[name]
	if t == nil {
		t = newTally()
		w.Classes[name] = t
	}
	return t
}

// liveWindows is how many windows are held unpacked; tries of older ones may still end.
const liveWindows = 8

func (w *Window) pack() {
	w.Lag.pack()
	for _, t := range w.Classes {
		t.Corrected.pack()
		t.Raw.pack()
	}
}

// judge decides whether a window is to be trusted.
func (w *Window) judge(l Limits) {
	switch lag := w.Lag.Percentile(99); {
	case w.Late > 0:
		w.UntrustedReason = fmt.Sprintf("%d arrivals were too late to be sent", w.Late)
	case w.OverLimit > 0:
		w.UntrustedReason = fmt.Sprintf("%d arrivals were not sent, as %d requests were open", w.OverLimit, l.MaxOpen)
	case w.Pauses > 0:
		w.UntrustedReason = fmt.Sprintf("this process stood still %d times, for up to %.1f ms", w.Pauses, w.MaxPauseMs)
	case lag > l.TrustedLag:
		w.UntrustedReason = fmt.Sprintf("the schedule's lag is %v at p99, over %v", lag, l.TrustedLag)
	}
	w.Trusted = w.UntrustedReason == ""
}

// Report is the account of a run.
type Report struct {
	Verdict        string            `json:"verdict"` // one line
	Trusted        bool              `json:"trusted"` // all windows are
	DurationS      float64           `json:"for_s"`
	WindowS        float64           `json:"window_s"`
	Lag            *Histogram        `json:"lag"`
	Late           int               `json:"late"`
	OverLimit      int               `json:"full"`
	Pauses         int               `json:"pauses"`
	MaxPauseMs     float64           `json:"paused_ms"`
	Classes        map[string]*Stats `json:"classes"`         // of all windows
	TrustedClasses map[string]*Stats `json:"trusted_classes"` // of those that are trusted
	Windows        []*Window         `json:"windows"`
}

// summary fills in what follows from the windows.
func (r *Report) summary(l Limits) {
	r.Lag, r.Late, r.OverLimit, r.Pauses, r.MaxPauseMs = newHistogram(), 0, 0, 0, 0
	r.Classes, r.TrustedClasses, r.Trusted = map[string]*Stats{}, map[string]*Stats{}, true
	bad := 0
	for _, w := range r.Windows {
		w.judge(l)
		r.Lag.Merge(w.Lag)
		r.Late += w.Late
		r.OverLimit += w.OverLimit
		r.Pauses += w.Pauses
		r.MaxPauseMs = max(r.MaxPauseMs, w.MaxPauseMs)
		if !w.Trusted {
			bad++
		}
		for name, t := range w.Classes {
			for i, to := range []map[string]*Stats{r.Classes, r.TrustedClasses} {
				if i == 1 && !w.Trusted {
					continue
				}
				if to[name] == nil {
					to[name] = newTally()
				}
				to[name].merge(t)
			}
		}
	}
	lag := fmt.Sprintf("schedule lag p50 %v, p99 %v, max %v", r.Lag.Percentile(50), r.Lag.Percentile(99), r.Lag.Percentile(100))
	if r.Trusted = bad == 0; r.Trusted {
		r.Verdict = "trusted: " + lag
		return
	}
	first := slices.IndexFunc(r.Windows, func(w *Window) bool { return !w.Trusted })
	r.Verdict = fmt.Sprintf("UNTRUSTED: %d of %d windows, the first at %gs, as %s; %s", bad, len(r.Windows), r.Windows[first].StartS, r.Windows[first].UntrustedReason, lag)
}

// Merge adds the reports of workers that ran beside one another from the same moment on. Their windows must be of one length.
func Merge(l Limits, reports ...*Report) (*Report, error) {
	l = l.withDefaults()
	sum := &Report{}
	for _, r := range reports {
		if sum.WindowS != 0 && sum.WindowS != r.WindowS {
			return nil, fmt.Errorf("windows of %g and %g s", sum.WindowS, r.WindowS)
		}
		sum.WindowS, sum.DurationS = r.WindowS, max(sum.DurationS, r.DurationS)
		for i, w := range r.Windows {
			if i == len(sum.Windows) {
				sum.Windows = append(sum.Windows, newWindow(time.Duration(w.StartS*float64(time.Second))))
			}
			to := sum.Windows[i]
			to.Lag.Merge(w.Lag)
			to.Late += w.Late
			to.OverLimit += w.OverLimit
			to.Pauses += w.Pauses
			to.MaxPauseMs = max(to.MaxPauseMs, w.MaxPauseMs)
			for _, name := range slices.Sorted(maps.Keys(w.Classes)) {
				to.class(name).merge(w.Classes[name])
			}
		}
	}
	sum.summary(l)
	return sum, nil
}

// recorder collects what becomes of tries, by the window in which their first was due.
type recorder struct {
	limits Limits

	mu      sync.Mutex
	windows []*Window
	now     *Histogram // corrected, since the last progress
	raw     *Histogram
	lag     *Histogram
	counts  struct{ due, served, errors int }
}

func newRecorder(l Limits) *recorder {
	return &recorder{limits: l, now: newHistogram(), raw: newHistogram(), lag: newHistogram()}
}

// window returns the window of a time from the begin. mu is held.
func (r *recorder) window(at time.Duration) *Window {
	i := int(max(at, 0) / r.limits.Window)
	for len(r.windows) <= i {
		r.windows = append(r.windows, newWindow(time.Duration(len(r.windows))*r.limits.Window))
		if old := len(r.windows) - liveWindows; old >= 0 {
			r.windows[old].pack()
		}
	}
	return r.windows[i]
}

func (r *recorder) due(at time.Duration, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(at).class(class).FirstTries++
	r.counts.due++
}

func (r *recorder) unsent(at time.Duration, class string, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(at)
	if late {
		w.Late++
	} else {
		w.OverLimit++
	}
	w.class(class).Outcomes[Unsent]++
}

func (r *recorder) lagged(at, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(at).Lag.Record(lag)
	r.lag.Record(lag)
}

// try notes the end of a try, sent took ago. first is when its client's first was due; since then it is corrected ago.
func (r *recorder) try(first time.Duration, class string, again bool, o Outcome, status int, took, corrected time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.window(first).class(class)
	t.Tries++
	if again {
		t.Retries++
	}
	t.Outcomes[o]++
	if status != 0 {
		t.Statuses[status]++
	}
	if o == Served {
		t.Answered++
		t.Raw.Record(took)
		t.Corrected.Record(corrected)
		r.now.Record(corrected)
		r.raw.Record(took)
		r.counts.served++
	} else {
		r.counts.errors++
	}
}

func (r *recorder) paused(from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at := max(from, 0); ; at += r.limits.Window { // a window in which it ended or went on
		w := r.window(min(at, to))
		w.Pauses++
		w.MaxPauseMs = max(w.MaxPauseMs, ms(to-from))
		if at/r.limits.Window >= to/r.limits.Window {
			return
		}
	}
}

func (r *recorder) report(lasted time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{DurationS: lasted.Seconds(), WindowS: r.limits.Window.Seconds(), Windows: r.windows}
	rep.summary(r.limits)
	return rep
}
