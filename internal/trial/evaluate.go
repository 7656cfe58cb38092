package trial

import (
	"fmt"
	"slices"
	"time"
)

// span is the time during which a condition held. A zero to means that it still holds.
type span struct{ from, to time.Time }

func (s span) end(now time.Time) time.Time {
	if s.to.IsZero() {
		return now
	}
	return s.to
}

// groundTruth records the faults that the runner caused, by which verdicts are checked. Its times
// are those of the runner's clock.
type groundTruth struct {
	silence time.Duration
	dead    map[string][]span // by process name
	stopped map[string][]span
	faults  []faultSpan // of links, and name conflicts
}

type faultSpan struct {
	*Fault
	span
}

// verdictDelay is how long after a fault a verdict may still be a consequence of it. An
// investigation of a silent member can take this long when all processes are slow.
const verdictDelay = 20 * time.Second

func openSpan(m map[string][]span, name string, at time.Time) {
	m[name] = append(m[name], span{from: at})
}

func closeSpan(m map[string][]span, name string, at time.Time) {
	if all := m[name]; len(all) > 0 && all[len(all)-1].to.IsZero() {
		all[len(all)-1].to = at
	}
}

// justified reports whether observer had a reason to declare subject gone at that time: subject was
// dead, was stopped for at least the silence timeout, was cut off from all others, was in another
// partition, or its name was taken by a second process. index maps process names to indexes.
func (t *groundTruth) justified(observer, subject string, at time.Time, index map[string]int) bool {
	recent := func(s span) bool { return s.from.Before(at) && s.end(at).After(at.Add(-verdictDelay)) }
	for _, s := range t.dead[subject] {
		if recent(s) {
			return true
		}
	}
	for _, s := range t.stopped[subject] {
		if recent(s) && s.end(at).Sub(s.from) >= t.silence {
			return true
		}
	}
	for _, f := range t.faults {
		if !recent(f.span) {
			continue
		}
		switch f.Kind {
		case KindNameConflict: // the earlier process gives way
			if slices.Contains(f.Targets, index[subject]) {
				return true
			}
		case KindPartition:
			if index[observer]%f.Partitions != index[subject]%f.Partitions {
				return true
			}
		case KindCut:
			if len(f.To) == 0 && slices.Contains(f.Targets, index[subject]) {
				return true
			}
		}
	}
	return false
}

// Detection is how long the others took to declare a process gone that was killed and not
// restarted.
type Detection struct {
	Process string `json:"of"`
	FirstMs int64  `json:"first_ms"` // until the first verdict; negative if there was none
	AllMs   int64  `json:"all_ms"`   // until the last verdict of a process that runs at the end
}

// Recovery is how long the processes took to agree on the membership after a fault had ended. Ms is
// negative if they did not agree in time.
type Recovery struct {
	Fault string `json:"after"`
	Ms    int64  `json:"ms"`
}

// Report is the result of a trial.
type Report struct {
	Processes     int            `json:"processes"`
	Seed          uint64         `json:"seed"`
	JoinedMs      int64          `json:"joined_ms"` // from the start until all know each other
	Detections    []Detection    `json:"detections"`
	Recoveries    []Recovery     `json:"healings"`
	Verdicts      int            `json:"verdicts"` // declarations that a member is gone
	FalseVerdicts []string       `json:"false_verdicts"`
	MaxFlaps      int            `json:"most_flaps"` // most verdicts of one process on another
	Events        map[string]int `json:"events"`     // logged member events, by kind
	Crashed       []string       `json:"crashed"`
	BytesMean     int            `json:"bytes_mean"` // sent per process and second
	BytesMax      int            `json:"bytes_most"`
	CPUMean       float64        `json:"cpu_mean"` // of one core, as a fraction
	CPUMax        float64        `json:"cpu_most"`
	StalledMs     int64          `json:"stalled_ms"` // longest stall of the runner itself
	Trusted       bool           `json:"trusted"`    // the runner did not stall for too long
	Failures      []string       `json:"broken"`     // violated requirements; empty if it passed
	Lines         []string       `json:"lines,omitempty"`
}

// evaluate checks the logged events against the faults that really occurred. killed holds the times
// at which processes were killed for good, running the names of those that still run.
func (r *Report) evaluate(t *groundTruth, events []event, index map[string]int, killed map[string]time.Time, running []string) {
	r.Events = map[string]int{}
	flaps := map[[2]string]int{}
	first, all := map[string]time.Time{}, map[string]time.Time{}
	for _, e := range events {
		r.Events[e.Kind]++
		if e.Kind != "condemned" {
			continue
		}
		r.Verdicts++
		flaps[[2]string{e.Observer, e.Subject}]++
		r.MaxFlaps = max(r.MaxFlaps, flaps[[2]string{e.Observer, e.Subject}])
		if !t.justified(e.Observer, e.Subject, e.At, index) {
			r.FalseVerdicts = append(r.FalseVerdicts, fmt.Sprintf("%s declared %s gone at %s", e.Observer, e.Subject, e.At.Format("15:04:05.000")))
		}
		if at, ok := killed[e.Subject]; ok && e.At.After(at) {
			if first[e.Subject].IsZero() {
				first[e.Subject] = e.At
			}
			if slices.Contains(running, e.Observer) {
				all[e.Subject] = e.At
			}
		}
	}
	for name, at := range killed {
		d := Detection{Process: name, FirstMs: -1, AllMs: -1}
		if !first[name].IsZero() {
			d.FirstMs, d.AllMs = first[name].Sub(at).Milliseconds(), all[name].Sub(at).Milliseconds()
		} else {
			r.Failures = append(r.Failures, fmt.Sprintf("%s was killed, and no process declared it gone", name))
		}
		r.Detections = append(r.Detections, d)
	}
	slices.SortFunc(r.Detections, func(a, b Detection) int { return int(a.FirstMs - b.FirstMs) })
	for _, f := range r.FalseVerdicts {
		r.Failures = append(r.Failures, "false verdict: "+f)
	}
	for _, h := range r.Recoveries {
		if h.Ms < 0 {
			r.Failures = append(r.Failures, "the processes do not agree on the membership after "+h.Fault)
		}
	}
	for _, c := range r.Crashed {
		r.Failures = append(r.Failures, "crashed: "+c)
	}
}
