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

// The outcomes of a try.
const (
	Served        Outcome = "served"    // 2xx
	Redirected    Outcome = "redirect"  // 3xx
	Rejected      Outcome = "rejected"  // 4xx
	Refused       Outcome = "refused"   // 503 or 429
	Failed        Outcome = "failed"    // other 5xx
	ConnectFailed Outcome = "unreached" // no connection was established
	Interrupted   Outcome = "broken"    // the response was cut off
	TimedOut      Outcome = "timed out"
	Unsent        Outcome = "unsent" // not sent: too late, or too many requests were open
)

const (
	minUs             = 1
	maxUs             = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram is a distribution of durations. Its JSON form holds the complete distribution. A
// histogram that is not in use may be held encoded, which takes far less memory.
type Histogram struct {
	h      *hdrhistogram.Histogram
	packed []byte // encoded form, in place of h
}

func newHistogram() *Histogram { return &Histogram{} }

func (h *Histogram) unpack() *hdrhistogram.Histogram {
	if h.h != nil {
		return h.h
	}
	if h.packed != nil {
		if d, err := hdrhistogram.Decode(h.packed); err == nil {
			h.h, h.packed = d, nil
			return d
		}
	}
	h.h = hdrhistogram.New(minUs, maxUs, significantDigits)
	return h.h
}

// pack replaces h with its encoded form until it is used again.
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

// Record adds a duration. Durations over two minutes count as two minutes.
func (h *Histogram) Record(d time.Duration) {
	h.unpack().RecordValue(min(max(d.Microseconds(), minUs), maxUs))
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	if h == nil || h.h == nil && h.packed == nil {
		return 0
	}
	return h.unpack().TotalCount()
}

// Percentile returns the duration at a percentile, 0 to 100.
func (h *Histogram) Percentile(percent float64) time.Duration {
	if h.Count() == 0 {
		return 0
	}
	return time.Duration(h.unpack().ValueAtQuantile(percent)) * time.Microsecond
}

// Merge adds the durations of another histogram.
func (h *Histogram) Merge(o *Histogram) {
	if o.Count() > 0 {
		h.unpack().Merge(o.unpack())
	}
}

type histogramJSON struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
	HDR   string  `json:"hdr"`
}

// MarshalJSON implements json.Marshaler.
func (h *Histogram) MarshalJSON() ([]byte, error) {
	t := histogramJSON{Count: h.Count(), P50: ms(h.Percentile(50)), P90: ms(h.Percentile(90)), P99: ms(h.Percentile(99)), P999: ms(h.Percentile(99.9)), Max: ms(h.Percentile(100))}
	text, err := h.unpack().Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	t.HDR = string(text)
	h.pack()
	if err != nil {
		return nil, err
	}
	return json.Marshal(t)
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Histogram) UnmarshalJSON(b []byte) error {
	var t histogramJSON
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

// Stats summarizes the results of a set of tries.
type Stats struct {
	FirstTries int             `json:"first"`   // scheduled first tries
	Tries      int             `json:"tries"`   // sent tries
	Retries    int             `json:"retries"` // sent tries that were retries
	Outcomes   map[Outcome]int `json:"outcomes"`
	Statuses   map[int]int     `json:"statuses,omitempty"`
	Answered   int             `json:"answered"`  // requests served by any try
	Corrected  *Histogram      `json:"corrected"` // latency of those from the first try's due time
	Raw        *Histogram      `json:"raw"`       // latency of served tries from their send time
}

func newStats() *Stats {
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

// Window is a time slice of a run. Tries belong to the window in which their first try was due.
type Window struct {
	StartS          float64           `json:"from_s"`
	Trusted         bool              `json:"trusted"`
	UntrustedReason string            `json:"why,omitempty"` // empty if trusted
	Lag             *Histogram        `json:"lag"`           // due time to send time
	Late            int               `json:"late"`          // first tries too late to send
	OverLimit       int               `json:"full"`          // first tries over MaxOpen, not sent
	Pauses          int               `json:"pauses"`        // pauses of this process
	MaxPauseMs      float64           `json:"paused_ms"`     // longest pause
	Classes         map[string]*Stats `json:"classes"`
}

func newWindow(from time.Duration) *Window {
	return &Window{StartS: from.Seconds(), Lag: newHistogram(), Classes: map[string]*Stats{}}
}

func (w *Window) class(name string) *Stats {
	t := w.Classes[name]
	if t == nil {
		t = newStats()
		w.Classes[name] = t
	}
	return t
}

// unpackedWindows is how many recent windows are held decoded. Tries of older windows may still
// end.
const unpackedWindows = 8

func (w *Window) pack() {
	w.Lag.pack()
	for _, t := range w.Classes {
		t.Corrected.pack()
		t.Raw.pack()
	}
}

// evaluate decides whether a window is trusted.
func (w *Window) evaluate(l Limits) {
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

// Report is the result of a run.
type Report struct {
	Verdict        string            `json:"verdict"` // one line of text
	Trusted        bool              `json:"trusted"` // all windows are trusted
	DurationS      float64           `json:"for_s"`
	WindowS        float64           `json:"window_s"`
	Lag            *Histogram        `json:"lag"`
	Late           int               `json:"late"`
	OverLimit      int               `json:"full"`
	Pauses         int               `json:"pauses"`
	MaxPauseMs     float64           `json:"paused_ms"`
	Classes        map[string]*Stats `json:"classes"`         // over all windows
	TrustedClasses map[string]*Stats `json:"trusted_classes"` // over the trusted windows
	Windows        []*Window         `json:"windows"`
}

// summarize computes the totals and the verdict from the windows.
func (r *Report) summarize(l Limits) {
	r.Lag, r.Late, r.OverLimit, r.Pauses, r.MaxPauseMs = newHistogram(), 0, 0, 0, 0
	r.Classes, r.TrustedClasses, r.Trusted = map[string]*Stats{}, map[string]*Stats{}, true
	untrusted := 0
	for _, w := range r.Windows {
		w.evaluate(l)
		r.Lag.Merge(w.Lag)
		r.Late += w.Late
		r.OverLimit += w.OverLimit
		r.Pauses += w.Pauses
		r.MaxPauseMs = max(r.MaxPauseMs, w.MaxPauseMs)
		if !w.Trusted {
			untrusted++
		}
		for name, t := range w.Classes {
			for i, to := range []map[string]*Stats{r.Classes, r.TrustedClasses} {
				if i == 1 && !w.Trusted {
					continue
				}
				if to[name] == nil {
					to[name] = newStats()
				}
				to[name].merge(t)
			}
		}
	}
	lag := fmt.Sprintf("schedule lag p50 %v, p99 %v, max %v", r.Lag.Percentile(50), r.Lag.Percentile(99), r.Lag.Percentile(100))
	if r.Trusted = untrusted == 0; r.Trusted {
		r.Verdict = "trusted: " + lag
		return
	}
	first := slices.IndexFunc(r.Windows, func(w *Window) bool { return !w.Trusted })
	r.Verdict = fmt.Sprintf("UNTRUSTED: %d of %d windows, the first at %gs, as %s; %s", untrusted, len(r.Windows), r.Windows[first].StartS, r.Windows[first].UntrustedReason, lag)
}

// Merge merges the reports of workers that ran in parallel and started at the same time. Their
// windows must have the same length.
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
	sum.summarize(l)
	return sum, nil
}

// recorder collects the results of tries by the window in which their first try was due.
type recorder struct {
	limits Limits

	mu      sync.Mutex
	windows []*Window
	latency *Histogram // from the first try's due time, since the last snapshot
	raw     *Histogram
	lag     *Histogram
	counts  struct{ due, served, errors int }
}

func newRecorder(l Limits) *recorder {
	return &recorder{limits: l, latency: newHistogram(), raw: newHistogram(), lag: newHistogram()}
}

// window returns the window of an offset from the start. r.mu must be held.
func (r *recorder) window(at time.Duration) *Window {
	i := int(max(at, 0) / r.limits.Window)
	for len(r.windows) <= i {
		r.windows = append(r.windows, newWindow(time.Duration(len(r.windows))*r.limits.Window))
		if old := len(r.windows) - unpackedWindows; old >= 0 {
			r.windows[old].pack()
		}
	}
	return r.windows[i]
}

func (r *recorder) recordDue(at time.Duration, class string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(at).class(class).FirstTries++
	r.counts.due++
}

func (r *recorder) recordUnsent(at time.Duration, class string, late bool) {
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

func (r *recorder) recordLag(at, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(at).Lag.Record(lag)
	r.lag.Record(lag)
}

// recordTry records the end of a try that was sent took ago. first is the offset at which the first
// try of the request was due, which is corrected ago.
func (r *recorder) recordTry(first time.Duration, class string, isRetry bool, o Outcome, status int, took, corrected time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.window(first).class(class)
	t.Tries++
	if isRetry {
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
		r.latency.Record(corrected)
		r.raw.Record(took)
		r.counts.served++
	} else {
		r.counts.errors++
	}
}

func (r *recorder) recordPause(from, to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at := max(from, 0); ; at += r.limits.Window { // each window that the pause overlaps
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
	rep.summarize(r.limits)
	return rep
}
