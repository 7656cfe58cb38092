// Package trial starts several processes of the program, puts faults between them, and judges what they believe of one another by what is
// true. Each process has a loopback address of its own and a relay before it.
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
	port      = 7946
	cluster   = "trial"
	pollEvery = 100 * time.Millisecond
	mostStall = 500 * time.Millisecond // of the rig, above which its times cannot be trusted
	tries     = 20                     // for a range of addresses that is free
	liesEvery = 100                    // a second
	floodRate = 10_000
)

// Rig is the processes of a trial and what is between them.
type Rig struct {
	plan   Plan
	log    *slog.Logger
	dir    string
	net    *network
	all    []*process // twins behind the plan's
	origin *httptest.Server
	client *http.Client
	number map[string]int
	real   []netip.AddrPort

	mu    sync.Mutex
	lines []line
	truth truth
	kills map[string]time.Time // of those killed for good
	live  []*Fault             // faults of links at present
	quit  map[*Fault]chan struct{}
	work  sync.WaitGroup
}

// action is something to do at a time.
type action struct {
	at    time.Duration
	fault *Fault
	begin bool
}

// Run plays a plan with processes of the program, and ends all that it has started. An error tells that it could not be played.
func Run(ctx context.Context, plan Plan, program Program, log *slog.Logger) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &Rig{
		plan: plan, log: log, number: map[string]int{}, kills: map[string]time.Time{}, quit: map[*Fault]chan struct{}{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}},
		truth:  truth{silence: plan.silence(), dead: map[string][]span{}, stopped: map[string][]span{}},
	}
	defer r.close()
	if err := r.open(program); err != nil {
		return nil, err
	}
	report := &Report{Processes: plan.Processes, Seed: plan.Seed, Trusted: true}
	if err := r.play(ctx, report); err != nil {
		return nil, err
	}
	return report, nil
}

// open lays out addresses, relays and files.
func (r *Rig) open(program Program) error {
	n := r.plan.Processes
	for i := range r.plan.Faults {
		f := &r.plan.Faults[i]
		if f.Part > 0 {
			rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(i)))
			f.Who = rng.Perm(n)[:max(1, int(f.Part*float64(n)))]
		}
	}
	slots := n
	for _, f := range r.plan.Faults {
		if f.Kind == KindTwin {
			slots += len(f.Who)
		}
	}
	var err error
	if r.dir, err = os.MkdirTemp("", "quillfront-trial-"); err != nil {
		return err
	}
	r.origin = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "origin") }))
	var front []netip.AddrPort
	for range tries {
		// Drawn apart from the seed: another trial may run beside.
		second := 16 + rand.IntN(200)
		third := 3 * rand.IntN(80)
		r.real, front = addresses(second, third, slots, port), addresses(second, third+1, slots, port)
		if r.net, err = newNetwork(r.real, front, addresses(second, third+2, slots, port), r.plan.Seed); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	seeds := front[:min(3, n)]
	if r.plan.DeadSeed {
		nobody := netip.AddrPortFrom(front[0].Addr(), 9)
		seeds = append([]netip.AddrPort{nobody}, seeds...)
	}
	for i := range slots {
		p := &process{name: fmt.Sprintf("p%d", i), begin: program, told: r.tell}
		if i < n {
			r.number[p.name] = i
		} else {
			p.name = r.twinOf(i - n)
		}
		p.file = filepath.Join(r.dir, fmt.Sprintf("%d.toml", i))
		if err := p.write(r.real[i], front[i], seeds, r.plan.Members, r.origin.Listener.Addr().String()); err != nil {
			return err
		}
		r.all = append(r.all, p)
	}
	return nil
}

// twinOf is the name of the i-th twin.
func (r *Rig) twinOf(i int) string {
	for _, f := range r.plan.Faults {
		if f.Kind == KindTwin {
			if i < len(f.Who) {
				return fmt.Sprintf("p%d", f.Who[i])
			}
			i -= len(f.Who)
		}
	}
	return ""
}

// close ends all that was started.
func (r *Rig) close() {
	r.mu.Lock()
	for _, q := range r.quit {
		close(q)
	}
	clear(r.quit)
	r.mu.Unlock()
	r.work.Wait()
	r.each(r.all, func(p *process) { p.end(syscall.SIGKILL) })
	if r.net != nil {
		r.net.close()
	}
	if r.origin != nil {
		r.origin.Close()
	}
	r.client.CloseIdleConnections()
	if r.dir != "" {
		os.RemoveAll(r.dir)
	}
}

// Way returns a relay of TCP from one process to an address of another, with the faults of that link.
func (r *Rig) Way(from, to int, target string) (*Way, error) { return r.net.newWay(from, to, target) }

func (r *Rig) tell(l line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, l)
}

// each does something to processes at once, and waits.
func (r *Rig) each(all []*process, f func(*process)) {
	var work sync.WaitGroup
	for _, p := range all {
		work.Go(func() { f(p) })
	}
	work.Wait()
}

// play starts all, has the faults begin and end in their time, and judges.
func (r *Rig) play(ctx context.Context, report *Report) error {
	first := r.all[:r.plan.Processes]
	began := time.Now()
	failed := make(chan error, len(first))
	r.each(first, func(p *process) {
		if err := p.start(ctx); err != nil {
			failed <- err
		}
	})
	select {
	case err := <-failed:
		return err
	default:
	}
	if report.JoinedMs = r.settle(ctx, began); report.JoinedMs < 0 {
		report.Failures = append(report.Failures, "they did not come to know one another at the start")
	}
	var todo []action
	for i := range r.plan.Faults {
		f := &r.plan.Faults[i]
		todo = append(todo, action{time.Duration(f.At), f, true}, action{time.Duration(f.At + f.For), f, false})
	}
	slices.SortStableFunc(todo, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	began = time.Now()
	sent := r.net.sent()
	var watched *Fault // a fault that is over, until all know one another again
	var over time.Time
	for last := began; time.Since(began) < time.Duration(r.plan.For); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
		report.StalledMs = max(report.StalledMs, time.Since(last).Milliseconds()-20)
		for len(todo) > 0 && todo[0].at <= time.Since(began) {
			a := todo[0]
			todo = todo[1:]
			if a.begin {
				watched = nil
			}
			r.act(ctx, a)
			if !a.begin && (a.fault.Kind == KindSplit || a.fault.Kind == KindCut || a.fault.Kind == KindStop) {
				watched, over = a.fault, time.Now()
			}
		}
		if watched != nil && r.agreed(ctx) {
			report.Recoveries = append(report.Recoveries, Recovery{watched.Kind, time.Since(over).Milliseconds()})
			watched = nil
		}
		last = time.Now()
	}
	took := time.Since(began)
	for i, v := range r.net.sent() {
		each := int(float64(v-sent[i]) / took.Seconds())
		report.BytesMean += each / len(first)
		report.BytesMax = max(report.BytesMax, each)
	}
	for _, a := range todo {
		r.act(ctx, a)
	}
	over = time.Now()
	report.Recoveries = append(report.Recoveries, Recovery{"all", r.settle(ctx, over)})
	var running []string
	for _, p := range r.all {
		if p.runs() {
			running = append(running, p.name)
		}
	}
	r.each(r.all, func(p *process) { p.end(syscall.SIGTERM) })
	for _, p := range r.all {
		p.mu.Lock()
		if p.crashed != "" {
			report.Crashed = append(report.Crashed, p.name+" "+p.crashed)
		}
		if p.cmd != nil && p.cmd.ProcessState != nil {
			cpu := (p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()).Seconds() / took.Seconds()
			report.CPUMean += cpu / float64(len(first))
			report.CPUMax = max(report.CPUMax, cpu)
		}
		p.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	report.judge(&r.truth, r.lines, r.number, r.kills, running)
	if report.Trusted = report.StalledMs < mostStall.Milliseconds(); !report.Trusted {
		report.Failures = append(report.Failures, fmt.Sprintf("the rig itself stood still for %d ms: not to be trusted", report.StalledMs))
	}
	return nil
}

// settle waits until all know one another, and returns how long that has taken since; -1: too long.
func (r *Rig) settle(ctx context.Context, since time.Time) int64 {
	for began := time.Now(); time.Since(began) < time.Duration(r.plan.Settle) && ctx.Err() == nil; time.Sleep(pollEvery) {
		if r.agreed(ctx) {
			return time.Since(since).Milliseconds()
		}
	}
	return -1
}

// agreed asks all that run, and reports whether they know just one another.
func (r *Rig) agreed(ctx context.Context) bool {
	var mu sync.Mutex
	var views []peering.View
	ok, asked := true, 0
	r.each(r.all, func(p *process) {
		if !p.runs() {
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

// act has a fault begin or end.
func (r *Rig) act(ctx context.Context, a action) {
	f, now := a.fault, time.Now()
	r.log.Info("trial", "fault", f.Kind, "begins", a.begin, "who", f.Who, "for", time.Duration(f.For).String())
	var who []*process
	for _, i := range f.Who {
		who = append(who, r.all[i])
	}
	switch f.Kind {
	case KindCut, KindLink, KindSplit:
		r.link(f, a.begin, now)
	case KindStop:
		for _, p := range who {
			r.stop(p, a.begin)
		}
	case KindSlow:
		if a.begin {
			r.slowly(f, who)
		} else {
			r.finish(f)
		}
	case KindKill, KindTerm:
		signal := syscall.SIGKILL
		if f.Kind == KindTerm {
			signal = syscall.SIGTERM
		}
		r.each(who, func(p *process) {
			if a.begin {
				r.mu.Lock()
				open(r.truth.dead, p.name, time.Now())
				if f.For == 0 && f.Kind == KindKill {
					r.kills[p.name] = time.Now()
				}
				r.mu.Unlock()
				if f.Kind == KindTerm {
					p.signal(signal)
				} else {
					p.end(signal)
				}
			} else if f.For > 0 {
				p.end(syscall.SIGKILL)
				r.begin(ctx, p)
			}
		})
	case KindTwin:
		r.during(f, a.begin, now)
		for i, p := range who {
			if a.begin {
				r.begin(ctx, r.twin(f, i))
			} else {
				p.end(syscall.SIGKILL)
			}
		}
	case KindLies, KindFlood:
		if a.begin {
			r.lie(ctx, f)
		} else {
			r.finish(f)
		}
	}
}

// begin starts a process anew.
func (r *Rig) begin(ctx context.Context, p *process) {
	if err := p.start(ctx); err != nil {
		p.mu.Lock()
		p.crashed = err.Error()
		p.mu.Unlock()
	}
	r.mu.Lock()
	shut(r.truth.dead, p.name, time.Now())
	r.mu.Unlock()
}

// twin is the process that has the name of the i-th of f.
func (r *Rig) twin(f *Fault, i int) *process {
	at := r.plan.Processes
	for j := range r.plan.Faults {
		g := &r.plan.Faults[j]
		if g == f {
			break
		}
		if g.Kind == KindTwin {
			at += len(g.Who)
		}
	}
	return r.all[at+i]
}

// during notes for the judge that a fault has begun or ended.
func (r *Rig) during(f *Fault, begin bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begin {
		r.truth.faults = append(r.truth.faults, faultSpan{f, span{from: now}})
	}
	for i := range r.truth.faults {
		if s := &r.truth.faults[i]; !begin && s.Fault == f {
			s.to = now
		}
	}
}

// link has a fault of links begin or end.
func (r *Rig) link(f *Fault, begin bool, now time.Time) {
	r.during(f, begin, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if begin {
		r.live = append(r.live, f)
	} else {
		r.live = slices.DeleteFunc(r.live, func(o *Fault) bool { return o == f })
	}
	links := map[[2]int]Link{}
	for from := range r.all {
		for to := range r.all {
			for _, f := range r.live {
				if f.touches(from, to) {
					links[[2]int{from, to}] = links[[2]int{from, to}].merge(f.link())
				}
			}
		}
	}
	r.net.set(links)
}

func (r *Rig) stop(p *process, begin bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begin {
		p.signal(syscall.SIGSTOP)
		open(r.truth.stopped, p.name, time.Now())
	} else {
		p.signal(syscall.SIGCONT)
		shut(r.truth.stopped, p.name, time.Now())
	}
}

// run has something go on for as long as a fault lasts.
func (r *Rig) run(f *Fault, work func(stop <-chan struct{})) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, ok := r.quit[f]
	if !ok {
		stop = make(chan struct{})
		r.quit[f] = stop
	}
	r.work.Go(func() { work(stop) })
}

func (r *Rig) finish(f *Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.quit[f]; q != nil {
		close(q)
		delete(r.quit, f)
	}
}

// slowly lets processes run for a tenth of the time.
func (r *Rig) slowly(f *Fault, who []*process) {
	r.run(f, func(stop <-chan struct{}) {
		for {
			for _, p := range who {
				r.stop(p, true)
			}
			over := false
			select {
			case <-stop:
				over = true
			case <-time.After(time.Duration(f.Every) * 9 / 10):
			}
			for _, p := range who {
				r.stop(p, false)
			}
			if over {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(f.Every) / 10):
			}
		}
	})
}

// lie has somebody speak as the first process, to all or in floods to Who.
func (r *Rig) lie(ctx context.Context, f *Fault) {
	v, err := r.all[0].view(ctx, r.client)
	if err != nil {
		return
	}
	l := &liar{cluster: crc32.ChecksumIEEE([]byte(cluster)), name: v.Self, epoch: v.Epoch, rng: rand.New(rand.NewPCG(r.plan.Seed, 8))}
	to, rate := f.Who, cmp.Or(f.Rate, floodRate)
	if f.Kind == KindLies {
		rate = liesEvery
		if len(to) == 0 {
			for i := range r.plan.Processes {
				to = append(to, i)
			}
		}
	}
	for _, i := range to {
		rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(100+i)))
		mine := *l
		mine.rng = rng
		r.run(f, func(stop <-chan struct{}) {
			flood(r.real[i], rate, func() []byte {
				m := v.Members[rng.IntN(len(v.Members))]
				return mine.say(m.Name, m.Epoch, m.Incarnation)
			}, stop)
		})
	}
}
