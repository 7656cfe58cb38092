// Package trial starts several processes of the program, injects faults into them and the network
// between them, and checks their membership verdicts against the faults that really occurred. Each
// process has its own loopback address, and a relay in front of it that impairs its traffic.
package trial

import (
	"cmp"
	"context"
	"fmt"
	"hash/crc32"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"quillfront/internal/peering"
)

const (
	port            = 7946
	cluster         = "trial"
	pollInterval    = 100 * time.Millisecond
	maxStall        = 500 * time.Millisecond // of the runner; above it, timings cannot be trusted
	maxAddressTries = 20                     // to find a free range of addresses
	forgeRate       = 100                    // datagrams per second and target
	floodRate       = 10_000                 // likewise; the default of Fault.Rate
)

// Runner runs a trial. It owns the processes and the network between them.
type Runner struct {
	plan        Plan
	log         *slog.Logger
	dir         string
	network     *network
	processes   []*process // those of the plan, then those that take a name in a name conflict
	origin      *httptest.Server
	client      *http.Client
	index       map[string]int // by process name
	listenAddrs []netip.AddrPort

	mu         sync.Mutex
	events     []event
	truth      groundTruth
	killed     map[string]time.Time     // processes that were killed and are not restarted
	linkFaults []*Fault                 // link faults in effect
	stopFault  map[*Fault]chan struct{} // closed to end a fault that runs in goroutines
	wg         sync.WaitGroup
}

// action is the start or the end of a fault.
type action struct {
	at    time.Duration
	fault *Fault
	start bool
}

// Run runs a plan with processes of the program, and ends everything that it has started. An error
// means that the trial could not be run; the requirements that it violated are in Report.Failures.
func Run(ctx context.Context, plan Plan, program Program, log *slog.Logger) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &Runner{
		plan: plan, log: log, index: map[string]int{}, killed: map[string]time.Time{}, stopFault: map[*Fault]chan struct{}{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
		truth:  groundTruth{silence: plan.silence(), dead: map[string][]span{}, stopped: map[string][]span{}},
	}
	defer r.close()
	if err := r.setUp(program); err != nil {
		return nil, err
	}
	report := &Report{Processes: plan.Processes, Seed: plan.Seed, Trusted: true}
	if err := r.runPlan(ctx, report); err != nil {
		return nil, err
	}
	return report, nil
}

// setUp draws the targets of faults, and allocates addresses, relays and configuration files.
func (r *Runner) setUp(program Program) error {
	n := r.plan.Processes
	for i := range r.plan.Faults {
		f := &r.plan.Faults[i]
		if f.Fraction > 0 {
			rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))
			f.Targets = rng.Perm(n)[:max(1, int(f.Fraction*float64(n)))]
		}
	}
	total := n
	for _, f := range r.plan.Faults {
		if f.Kind == KindNameConflict {
			total += len(f.Targets)
		}
	}
	var err error
	if r.dir, err = os.MkdirTemp("", "quillfront-trial-"); err != nil {
		return err
	}
	r.origin = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "origin") }))
	var advertise []netip.AddrPort
	for range maxAddressTries {
		// These do not depend on the seed, as another trial may run at the same time.
		second := 16 + rand.IntN(200)
		third := 3 * rand.IntN(80)
		r.listenAddrs, advertise = addresses(second, third, total, port), addresses(second, third+1, total, port)
		if r.network, err = newNetwork(r.listenAddrs, advertise, addresses(second, third+2, total, port), r.plan.Seed); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	seeds := advertise[:min(3, n)]
	if r.plan.DeadSeed {
		dead := netip.AddrPortFrom(advertise[0].Addr(), 9)
		seeds = append([]netip.AddrPort{dead}, seeds...)
	}
	for i := range total {
		p := &process{name: fmt.Sprintf("p%d", i), program: program, onEvent: r.recordEvent}
		if i < n {
			r.index[p.name] = i
		} else {
			p.name = r.duplicateName(i - n)
		}
		p.configPath = filepath.Join(r.dir, fmt.Sprintf("%d.toml", i))
		if err := p.writeConfig(r.listenAddrs[i], advertise[i], seeds, r.plan.Members, r.origin.Listener.Addr().String()); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	return nil
}

// duplicateName returns the name that the i-th process of all name conflicts takes.
func (r *Runner) duplicateName(i int) string {
	for _, f := range r.plan.Faults {
		if f.Kind == KindNameConflict {
			if i < len(f.Targets) {
				return fmt.Sprintf("p%d", f.Targets[i])
			}
			i -= len(f.Targets)
		}
	}
	return ""
}

// close ends all faults and processes, and removes the files.
func (r *Runner) close() {
	r.mu.Lock()
	for _, stop := range r.stopFault {
		close(stop)
	}
	clear(r.stopFault)
	r.mu.Unlock()
	r.wg.Wait()
	r.parallel(r.processes, func(p *process) { p.terminate(syscall.SIGKILL) })
	if r.network != nil {
		r.network.close()
	}
	if r.origin != nil {
		r.origin.Close()
	}
	r.client.CloseIdleConnections()
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// NewTCPRelay opens a TCP relay from one process to target, an address of another, that is subject
// to the faults of the link between them.
func (r *Runner) NewTCPRelay(from, to int, target string) (*TCPRelay, error) {
	return r.network.newTCPRelay(from, to, target)
}

func (r *Runner) recordEvent(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// parallel calls f for all processes concurrently and waits.
func (r *Runner) parallel(processes []*process, f func(*process)) {
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { f(p) })
	}
	wg.Wait()
}

// runPlan starts the processes, starts and ends each fault at its time, and evaluates the trial.
func (r *Runner) runPlan(ctx context.Context, report *Report) error {
	planned := r.processes[:r.plan.Processes]
	start := time.Now()
	failed := make(chan error, len(planned))
	r.parallel(planned, func(p *process) {
		if err := p.start(ctx); err != nil {
			failed <- err
		}
	})
	select {
	case err := <-failed:
		return err
	default:
	}
	if report.JoinedMs = r.waitConverged(ctx, start); report.JoinedMs < 0 {
		report.Failures = append(report.Failures, "the processes did not agree on the membership after their start")
	}
	var pending []action
	for i := range r.plan.Faults {
		f := &r.plan.Faults[i]
		pending = append(pending, action{time.Duration(f.At), f, true}, action{time.Duration(f.At + f.Length), f, false})
	}
	slices.SortStableFunc(pending, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	start = time.Now()
	sent := r.network.bytesSent()
	var recovering *Fault // the last fault that ended, until the processes agree again
	var ended time.Time
	for last := start; time.Since(start) < time.Duration(r.plan.Length); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		report.StalledMs = max(report.StalledMs, time.Since(last).Milliseconds()-20)
		for len(pending) > 0 && pending[0].at <= time.Since(start) {
			a := pending[0]
			pending = pending[1:]
			if a.start {
				recovering = nil
			}
			r.apply(ctx, a)
			if !a.start && (a.fault.Kind == KindPartition || a.fault.Kind == KindCut || a.fault.Kind == KindStop) {
				recovering, ended = a.fault, time.Now()
			}
		}
		if recovering != nil && r.converged(ctx) {
			report.Recoveries = append(report.Recoveries, Recovery{recovering.Kind, time.Since(ended).Milliseconds()})
			recovering = nil
		}
		last = time.Now()
	}
	elapsed := time.Since(start)
	for i, v := range r.network.bytesSent() {
		rate := int(float64(v-sent[i]) / elapsed.Seconds())
		report.BytesMean += rate / len(planned)
		report.BytesMax = max(report.BytesMax, rate)
	}
	for _, a := range pending {
		r.apply(ctx, a)
	}
	ended = time.Now()
	report.Recoveries = append(report.Recoveries, Recovery{"all", r.waitConverged(ctx, ended)})
	var running []string
	for _, p := range r.processes {
		if p.running() {
			running = append(running, p.name)
		}
	}
	r.parallel(r.processes, func(p *process) { p.terminate(syscall.SIGTERM) })
	for _, p := range r.processes {
		p.mu.Lock()
		if p.crashed != "" {
			report.Crashed = append(report.Crashed, p.name+" "+p.crashed)
		}
		if p.cmd != nil && p.cmd.ProcessState != nil {
			cpu := (p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()).Seconds() / elapsed.Seconds()
			report.CPUMean += cpu / float64(len(planned))
			report.CPUMax = max(report.CPUMax, cpu)
		}
		p.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report.evaluate(&r.truth, r.events, r.index, r.killed, running)
	if report.Trusted = report.StalledMs < maxStall.Milliseconds(); !report.Trusted {
		report.Failures = append(report.Failures, fmt.Sprintf("the trial runner stalled for %d ms: its timings cannot be trusted", report.StalledMs))
	}
	return nil
}

// waitConverged waits until the processes agree on the membership, and returns the milliseconds
// that have passed since then, or -1 if they do not agree within the plan's JoinTimeout.
func (r *Runner) waitConverged(ctx context.Context, since time.Time) int64 {
	for start := time.Now(); time.Since(start) < time.Duration(r.plan.JoinTimeout) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if r.converged(ctx) {
			return time.Since(since).Milliseconds()
		}
	}
	return -1
}

// converged asks all running processes for their views, and reports whether each knows exactly the
// others. A process that has lost its name to another one does not count.
func (r *Runner) converged(ctx context.Context) bool {
	var mu sync.Mutex
	var views []peering.View
	ok, asked := true, 0
	r.parallel(r.processes, func(p *process) {
		if !p.running() {
			return
		}
		v, err := p.view(ctx, r.client)
		mu.Lock()
		defer mu.Unlock()
		if err == nil && v.Displaced {
			return
		}
		asked++
		ok = ok && err == nil
		views = append(views, v)
	})
	for _, v := range views {
		ok = ok && v.Digest == views[0].Digest && v.Live == asked
	}
	return ok && asked > 0
}

// apply starts or ends a fault.
func (r *Runner) apply(ctx context.Context, a action) {
	f, now := a.fault, time.Now()
	r.log.Info("trial", "fault", f.Kind, "begins", a.start, "who", f.Targets, "for", time.Duration(f.Length).String())
	var targets []*process
	for _, i := range f.Targets {
		targets = append(targets, r.processes[i])
	}
	switch f.Kind {
	case KindCut, KindLink, KindPartition:
		r.applyLinkFault(f, a.start, now)
	case KindStop:
		for _, p := range targets {
			r.setStopped(p, a.start)
		}
	case KindSlow:
		if a.start {
			r.throttle(f, targets)
		} else {
			r.endFault(f)
		}
	case KindKill, KindTerminate:
		signal := syscall.SIGKILL
		if f.Kind == KindTerminate {
			signal = syscall.SIGTERM
		}
		r.parallel(targets, func(p *process) {
			if a.start {
				r.mu.Lock()
				openSpan(r.truth.dead, p.name, time.Now())
				if f.Length == 0 && f.Kind == KindKill {
					r.killed[p.name] = time.Now()
				}
				r.mu.Unlock()
				if f.Kind == KindTerminate {
					p.signal(signal)
				} else {
					p.terminate(signal)
				}
			} else if f.Length > 0 {
				p.terminate(syscall.SIGKILL)
				r.restart(ctx, p)
			}
		})
	case KindNameConflict:
		r.recordFault(f, a.start, now)
		for i, p := range targets {
			if a.start {
				r.restart(ctx, r.duplicate(f, i))
			} else {
				p.terminate(syscall.SIGKILL)
			}
		}
	case KindForge, KindFlood:
		if a.start {
			r.sendForged(ctx, f)
		} else {
			r.endFault(f)
		}
	}
}

// restart starts a process again. A failure to start counts as a crash.
func (r *Runner) restart(ctx context.Context, p *process) {
	if err := p.start(ctx); err != nil {
		p.mu.Lock()
		p.crashed = err.Error()
		p.mu.Unlock()
	}
	r.mu.Lock()
	closeSpan(r.truth.dead, p.name, time.Now())
	r.mu.Unlock()
}

// duplicate returns the process that takes the name of the i-th target of f.
func (r *Runner) duplicate(f *Fault, i int) *process {
	at := r.plan.Processes
	for j := range r.plan.Faults {
		g := &r.plan.Faults[j]
		if g == f {
			break
		}
		if g.Kind == KindNameConflict {
			at += len(g.Targets)
		}
	}
	return r.processes[at+i]
}

// recordFault records the start or the end of a fault for the evaluation.
func (r *Runner) recordFault(f *Fault, start bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if start {
		r.truth.faults = append(r.truth.faults, faultSpan{f, span{from: now}})
	}
	for i := range r.truth.faults {
		if s := &r.truth.faults[i]; !start && s.Fault == f {
			s.to = now
		}
	}
}

// applyLinkFault starts or ends a fault of links, and recomputes the impairments of all links.
func (r *Runner) applyLinkFault(f *Fault, start bool, now time.Time) {
	r.recordFault(f, start, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if start {
		r.linkFaults = append(r.linkFaults, f)
	} else {
		r.linkFaults = slices.DeleteFunc(r.linkFaults, func(o *Fault) bool { return o == f })
	}
	links := map[[2]int]Link{}
	for from := range r.processes {
		for to := range r.processes {
			for _, f := range r.linkFaults {
				if f.affects(from, to) {
					links[[2]int{from, to}] = links[[2]int{from, to}].merge(f.link())
				}
			}
		}
	}
	r.network.setLinks(links)
}

// setStopped stops a process with SIGSTOP or resumes it with SIGCONT.
func (r *Runner) setStopped(p *process, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stopped {
		p.signal(syscall.SIGSTOP)
		openSpan(r.truth.stopped, p.name, time.Now())
	} else {
		p.signal(syscall.SIGCONT)
		closeSpan(r.truth.stopped, p.name, time.Now())
	}
}

// runFault runs work in a goroutine until the fault ends.
func (r *Runner) runFault(f *Fault, work func(stop <-chan struct{})) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, ok := r.stopFault[f]
	if !ok {
		stop = make(chan struct{})
		r.stopFault[f] = stop
	}
	r.wg.Go(func() { work(stop) })
}

// endFault stops the goroutines that runFault has started for a fault.
func (r *Runner) endFault(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stop := r.stopFault[f]; stop != nil {
		close(stop)
		delete(r.stopFault, f)
	}
}

// throttle stops and resumes processes so that they run for a tenth of the time.
func (r *Runner) throttle(f *Fault, targets []*process) {
	r.runFault(f, func(stop <-chan struct{}) {
		for {
			for _, p := range targets {
				r.setStopped(p, true)
			}
			done := false
			select {
			case <-stop:
				done = true
			case <-time.After(time.Duration(f.Interval) * 9 / 10):
			}
			for _, p := range targets {
				r.setStopped(p, false)
			}
			if done {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(f.Interval) / 10):
			}
		}
	})
}

// sendForged sends forged datagrams in the name of the first process: to the targets, or for
// KindForge to all processes if the fault names none.
func (r *Runner) sendForged(ctx context.Context, f *Fault) {
	v, err := r.processes[0].view(ctx, r.client)
	if err != nil {
		return
	}
	base := &forger{cluster: crc32.ChecksumIEEE([]byte(cluster)), name: v.Self, epoch: v.Epoch, rng: rand.New(rand.NewPCG(r.plan.Seed, 8))}
	to, rate := f.Targets, cmp.Or(f.Rate, floodRate)
	if f.Kind == KindForge {
		rate = forgeRate
		if len(to) == 0 {
			for i := range r.plan.Processes {
				to = append(to, i)
			}
		}
	}
	for _, i := range to {
		rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(100+i)))
		sender := *base
		sender.rng = rng
		r.runFault(f, func(stop <-chan struct{}) {
			flood(r.listenAddrs[i], rate, func() []byte {
				m := v.Members[rng.IntN(len(v.Members))]
				return sender.forgePing(m.Name, m.Epoch, m.Incarnation)
			}, stop)
		})
	}
}
