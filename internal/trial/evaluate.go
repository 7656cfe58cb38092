package trial

import (
	"fmt"
	"slices"
	"time"
)

// span is a time in which something was so.
type span struct{ from, to time.Time }

func (s span) end(now time.Time) time.Time {
	if s.to.IsZero() {
		return now
	}
	return s.to
}

// truth is what was really so, by which the judge goes. Times are the rig's.
type truth struct {
	silence time.Duration
	dead    map[string][]span // processes
	stopped map[string][]span
	faults  []faultSpan // of links
}

type faultSpan struct {
	*Fault
	span
}

// memory is how long after something was so a verdict may still come of it: trials that are slow as all is slow take that long.
const memory = 20 * time.Second

func open(m map[string][]span, name string, at time.Time) { m[name] = append(m[name], span{from: at}) }

func shut(m map[string][]span, name string, at time.Time) {
	if all := m[name]; len(all) > 0 && all[len(all)-1].to.IsZero() {
		all[len(all)-1].to = at
	}
}

// deserved reports whether by may hold of for gone at that time: it was dead, stood still for long enough, was cut off from all, or in another
// part than by. number gives processes their numbers.
func (t *truth) deserved(by, of string, at time.Time, number map[string]int) bool {
	recent := func(s span) bool { return s.from.Before(at) && s.end(at).After(at.Add(-memory)) }
	for _, s := range t.dead[of] {
		if recent(s) {
			return true
		}
	}
	for _, s := range t.stopped[of] {
		if recent(s) && s.end(at).Sub(s.from) >= t.silence {
			return true
		}
	}
	for _, f := range t.faults {
		if !recent(f.span) {
			continue
		}
		switch f.Kind {
		case KindTwin: // the former one gives way
			if slices.Contains(f.Who, number[of]) {
				return true
			}
		case KindSplit:
			if number[by]%f.Parts != number[of]%f.Parts {
				return true
			}
		case KindCut:
			if len(f.To) == 0 && slices.Contains(f.Who, number[of]) {
				return true
			}
		}
	}
	return false
}

// Detection is how long a process that was killed for good was not known to be gone.
type Detection struct {
	Process string `json:"of"`
	FirstMs int64  `json:"first_ms"` // until the first verdict; below 0: there was none
	AllMs   int64  `json:"all_ms"`   // until the last one's
}

// Recovery is how long all took to know one another once a fault was over; below 0: too long.
type Recovery struct {
	Fault string `json:"after"`
	Ms    int64  `json:"ms"`
}

// Report is what became of a trial.
type Report struct {
	Processes     int            `json:"processes"`
	Seed          uint64         `json:"seed"`
	JoinedMs      int64          `json:"joined_ms"` // from the start of all until they know one another
	Detections    []Detection    `json:"detections"`
	Recoveries    []Recovery     `json:"healings"`
	Verdicts      int            `json:"verdicts"` // in all
	FalseVerdicts []string       `json:"false_verdicts"`
	MaxFlaps      int            `json:"most_flaps"` // verdicts of one process on another
	Events        map[string]int `json:"events"`     // lines that processes have logged
	Crashed       []string       `json:"crashed"`
	BytesMean     int            `json:"bytes_mean"` // a second that a process sent
	BytesMax      int            `json:"bytes_most"`
	CPUMean       float64        `json:"cpu_mean"` // part of a core
	CPUMax        float64        `json:"cpu_most"`
	StalledMs     int64          `json:"stalled_ms"` // the longest that the rig itself stood still
	Trusted       bool           `json:"trusted"`    // it did not stand still for long
	Failures      []string       `json:"broken"`     // what has not to be; empty: the trial is passed
	Lines         []string       `json:"lines,omitempty"`
}

// judge holds what the processes have said against what was so.
func (r *Report) judge(t *truth, lines []line, number map[string]int, kills map[string]time.Time, running []string) {
	r.Events = map[string]int{}
	flaps := map[[2]string]int{}
	first, all := map[string]time.Time{}, map[string]time.Time{}
	for _, l := range lines {
		r.Events[l.Kind]++
		if l.Kind != "condemned" {
			continue
		}
		r.Verdicts++
		flaps[[2]string{l.By, l.Of}]++
		r.MaxFlaps = max(r.MaxFlaps, flaps[[2]string{l.By, l.Of}])
		if !t.deserved(l.By, l.Of, l.At, number) {
			r.FalseVerdicts = append(r.FalseVerdicts, fmt.Sprintf("%s held %s for gone at %s", l.By, l.Of, l.At.Format("15:04:05.000")))
		}
		if at, ok := kills[l.Of]; ok && l.At.After(at) {
			if first[l.Of].IsZero() {
				first[l.Of] = l.At
			}
			if slices.Contains(running, l.By) {
				all[l.Of] = l.At
			}
		}
	}
	for of, at := range kills {
		d := Detection{Process: of, FirstMs: -1, AllMs: -1}
		if !first[of].IsZero() {
			d.FirstMs, d.AllMs = first[of].Sub(at).Milliseconds(), all[of].Sub(at).Milliseconds()
		} else {
			r.Failures = append(r.Failures, fmt.Sprintf("%s was killed, and nobody held it for gone", of))
		}
		r.Detections = append(r.Detections, d)
	}
	slices.SortFunc(r.Detections, func(a, b Detection) int { return int(a.FirstMs - b.FirstMs) })
	for _, f := range r.FalseVerdicts {
		r.Failures = append(r.Failures, "false verdict: "+f)
	}
	for _, h := range r.Recoveries {
		if h.Ms < 0 {
			r.Failures = append(r.Failures, "views stay apart after "+h.Fault)
		}
	}
	for _, c := range r.Crashed {
		r.Failures = append(r.Failures, "crashed: "+c)
	}
}
