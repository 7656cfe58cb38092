package account

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// logPrefix precedes the quoted JSON of a Second in a log line.
const logPrefix = "msg=account second="

// maxLineBytes limits a line of a log that is read.
const maxLineBytes = 1 << 20

// Encode returns s as JSON, the value of the log key second.
func (s Second) Encode() string {
	text, _ := json.Marshal(s) // cannot fail for these types
	return string(text)
}

// Read calls f with each Second in a log. It returns the number of lines that have the prefix of a
// Second and cannot be decoded.
func Read(log io.Reader, f func(Second)) (bad int, err error) {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, quoted, ok := strings.Cut(lines.Text(), logPrefix)
		if !ok {
			continue
		}
		var s Second
		text, err := strconv.Unquote(quoted)
		if err != nil || json.Unmarshal([]byte(text), &s) != nil {
			bad++
			continue
		}
		f(s)
	}
	return bad, lines.Err()
}

// Phase is the sum of the seconds of all sidecars in an interval.
type Phase struct {
	From, To     time.Duration // since the first second of any log
	Total        Second        // without StartMs, ReadyServers and ColdServers
	Sidecars     int           // the most that logged the same second
	ByServerAge  [len(AgeNames)]Server
	Startup      Startup
	PerServer    map[string]*Server // Queue is the mean of the reported ones, -1 for none
	queueReports map[string]int
}

// Startup is the sum of the first startupSeconds seconds of each sidecar.
type Startup struct {
	Seconds   int // seconds that are summed up, over all sidecars
	Classes   Class
	Sends     Sends
	ListCalls int
}

// startupSeconds is how long a sidecar counts as starting up: it knows nothing about the servers
// yet, and its list may be outdated.
const startupSeconds = 3

// AgeNames names the age ranges of Phase.ByServerAge.
var AgeNames = [...]string{"under 2 s", "2 to 5 s", "5 to 10 s", "older"}

// ageBucket returns the index in AgeNames of an age in seconds; 0 is an unknown age.
func ageBucket(s float64) int {
	switch {
	case s == 0 || s >= 10:
		return 3
	case s < 2:
		return 0
	case s < 5:
		return 1
	}
	return 2
}

// SumPhases sums up the seconds of each phase. cuts are the ends of all phases but the last, since
// the first second of all.
func SumPhases(seconds []Second, cuts []time.Duration) []Phase {
	if len(seconds) == 0 {
		return nil
	}
	first := slices.MinFunc(seconds, func(a, b Second) int { return int(a.StartMs - b.StartMs) }).StartMs
	last := slices.MaxFunc(seconds, func(a, b Second) int { return int(a.StartMs - b.StartMs) }).StartMs
	bounds := append([]time.Duration{0}, cuts...)
	bounds = append(bounds, time.Duration(last-first+1000)*time.Millisecond)
	phases := make([]Phase, len(bounds)-1)
	sidecars := map[int64]int{}
	for i := range phases {
		phases[i] = Phase{From: bounds[i], To: bounds[i+1], PerServer: map[string]*Server{}, queueReports: map[string]int{}}
		phases[i].Total = Second{Classes: map[string]*Class{}, AttemptResults: map[string]int{}, ProbeResults: map[string]int{}}
	}
	for _, s := range seconds {
		at := time.Duration(s.StartMs-first) * time.Millisecond
		for i := range phases {
			if p := &phases[i]; at >= p.From && at < p.To {
				sidecars[s.StartMs]++
				p.Sidecars = max(p.Sidecars, sidecars[s.StartMs])
				p.add(s)
			}
		}
	}
	return phases
}

func (p *Phase) add(s Second) {
	for name, c := range s.Classes {
		sum := p.Total.Classes[name]
		if sum == nil {
			sum = &Class{}
			p.Total.Classes[name] = sum
		}
		sum.add(c)
	}
	addCounts(p.Total.AttemptResults, s.AttemptResults)
	addCounts(p.Total.ProbeResults, s.ProbeResults)
	p.Total.ListUpdates += s.ListUpdates
	p.Total.ListCalls += s.ListCalls
	p.Total.Dials += s.Dials
	p.Total.FailedListCalls += s.FailedListCalls
	p.Total.Sends.add(s.Sends)
	if s.UpSeconds < startupSeconds {
		p.Startup.Seconds++
		p.Startup.ListCalls += s.ListCalls
		p.Startup.Sends.add(s.Sends)
		for _, c := range s.Classes {
			p.Startup.Classes.add(c)
		}
	}
	for id, v := range s.Servers {
		sum := p.PerServer[id]
		if sum == nil {
			sum = &Server{Queue: -1}
			p.PerServer[id] = sum
		}
		sum.add(v)
		if v.Queue >= 0 {
			if p.queueReports[id]++; p.queueReports[id] == 1 {
				sum.Queue = 0
			}
			sum.Queue += (v.Queue - sum.Queue) / float64(p.queueReports[id])
		}
		p.ByServerAge[ageBucket(v.Age)].add(v)
	}
}

func (s *Sends) add(o Sends) {
	s.FirstAttempts += o.FirstAttempts
	s.Resends += o.Resends
	s.ToCold += o.ToCold
	s.ToErroring += o.ToErroring
	s.ToUnreachable += o.ToUnreachable
	s.NoReport += o.NoReport
	s.FreshReport += o.FreshReport
	s.RecentReport += o.RecentReport
	s.StaleReport += o.StaleReport
}

func (c *Class) add(o *Class) {
	c.Requests += o.Requests
	c.InTime += o.InTime
	c.Late += o.Late
	c.RefusedAtOnce += o.RefusedAtOnce
	c.RefusedAfterProbe += o.RefusedAfterProbe
	c.RefusedAfterSend += o.RefusedAfterSend
	c.Failed += o.Failed
	c.Work += o.Work
	c.LostWork += o.LostWork
}

func (v *Server) add(o *Server) {
	v.Sent += o.Sent
	v.OK += o.OK
	v.Errors += o.Errors
	v.Unreachable += o.Unreachable
	v.Age = max(v.Age, o.Age)
}

func addCounts(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

// Print writes phases as Markdown tables, and with servers set a line for each server as well.
func Print(w io.Writer, phases []Phase, servers bool) {
	for _, p := range phases {
		sec := (p.To - p.From).Seconds()
		rate := func(n int) float64 { return float64(n) / max(sec, 1) }
		fmt.Fprintf(w, "\n%g to %g s, %d sidecars, figures a second\n\n", p.From.Seconds(), p.To.Seconds(), p.Sidecars)
		fmt.Fprintln(w, "| class | tries | in time | late | refused at once | after probes | after sends | failed | work lost |")
		fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, name := range slices.Sorted(maps.Keys(p.Total.Classes)) {
			c := p.Total.Classes[name]
			fmt.Fprintf(w, "| %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f |\n", name, rate(c.Requests), rate(c.InTime),
				rate(c.Late), rate(c.RefusedAtOnce), rate(c.RefusedAfterProbe), rate(c.RefusedAfterSend), rate(c.Failed), c.LostWork/max(c.Work, 1e-9))
		}
		s := p.Total.Sends
		fmt.Fprintf(w, "\nsends: first %.0f, further %.0f; to cold %.0f, erring %.0f, dark %.0f; figures never %.0f, fresh %.0f, of a second %.0f, older %.0f\n",
			rate(s.FirstAttempts), rate(s.Resends), rate(s.ToCold), rate(s.ToErroring), rate(s.ToUnreachable), rate(s.NoReport), rate(s.FreshReport), rate(s.RecentReport), rate(s.StaleReport))
		fmt.Fprintf(w, "endings: %s; probes: %s; connects %.0f; lists %.0f, calls %.0f, failed %.0f\n", formatRates(p.Total.AttemptResults, rate), formatRates(p.Total.ProbeResults, rate),
			rate(int(p.Total.Dials)), rate(p.Total.ListUpdates), rate(p.Total.ListCalls), rate(p.Total.FailedListCalls))
		if b := p.Startup; b.Seconds > 0 {
			each := func(n int) float64 { return float64(n) / float64(b.Seconds) }
			c, s := b.Classes, b.Sends
			fmt.Fprintf(w, "sidecars in their first %d s, each a second: tries %.1f, in time %.1f, late %.1f, refused %.1f, failed %.1f; sends %.1f, to cold %.1f, erring %.1f, dark %.1f, no figures %.1f; calls %.2f\n",
				startupSeconds, each(c.Requests), each(c.InTime), each(c.Late), each(c.RefusedAtOnce+c.RefusedAfterProbe+c.RefusedAfterSend), each(c.Failed),
				each(s.FirstAttempts+s.Resends), each(s.ToCold), each(s.ToErroring), each(s.ToUnreachable), each(s.NoReport), each(b.ListCalls))
		}
		fmt.Fprint(w, "by the server's age:")
		for i, v := range p.ByServerAge {
			fmt.Fprintf(w, " %s %.0f sent, %.0f ok, %.0f errors, %.0f dark;", AgeNames[i], rate(v.Sent), rate(v.OK), rate(v.Errors), rate(v.Unreachable))
		}
		fmt.Fprintln(w)
		if servers {
			for _, id := range slices.Sorted(maps.Keys(p.PerServer)) {
				v := p.PerServer[id]
				fmt.Fprintf(w, "%s sent %.1f ok %.1f err %.1f dark %.1f queue %.1f age %.1f\n", id, rate(v.Sent), rate(v.OK), rate(v.Errors), rate(v.Unreachable), v.Queue, v.Age)
			}
		}
	}
}

func formatRates(m map[string]int, rate func(int) float64) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(m)) {
		fmt.Fprintf(&b, "%s %.0f ", k, rate(m[k]))
	}
	return strings.TrimSpace(b.String())
}
