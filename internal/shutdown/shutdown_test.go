package shutdown

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestScheduleKeepsTheKill: whatever the longest deadline is, a process that noticed the signal late and is held up once
// more at its last answers is out before the earliest kill, and the points follow one another.
func TestScheduleKeepsTheKill(t *testing.T) {
	signal := time.Now()
	for _, longest := range []time.Duration{
		time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 8 * time.Second, time.Hour,
	} {
		kill := signal.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
		s := ForTermination(signal.Add(MaxStall), longest)
		if !s.Exit.Before(kill) {
			t.Errorf("longest %v: exit %v after the kill", longest, s.Exit.Sub(kill))
		}
		if held := s.Answer.Add(MaxStall); held.After(s.Exit) {
			t.Errorf("longest %v: the last answers may come %v after the exit", longest, held.Sub(s.Exit))
		}
		if !s.Forward.Before(s.Answer) || !s.Answer.Before(s.Exit) || s.Accept.After(s.Exit) {
			t.Errorf("longest %v: out of order: %+v", longest, s)
		}
		// A request of the longest deadline that comes as late as new connections do, 0.4 s after the signal, loses
		// little of its time.
		if full := signal.Add(350*time.Millisecond + min(longest, 3*time.Second)); s.Answer.Before(full) {
			t.Errorf("longest %v: answers are due %v early", longest, full.Sub(s.Answer))
		}
	}
}

// TestPatience: the points of a short patience are in order too, and one that a context cuts short ends with it.
func TestPatience(t *testing.T) {
	begin := time.Now()
	for _, patience := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, time.Minute} {
		s := Within(begin, patience)
		if !s.Exit.Equal(begin.Add(patience)) || !s.Forward.Before(s.Answer) || !s.Answer.Before(s.Exit) || !begin.Before(s.Forward) {
			t.Errorf("%v: %+v", patience, s)
		}
	}
	ctx, cancel := context.WithDeadline(t.Context(), begin.Add(time.Second))
	defer cancel()
	if s := WithinContext(ctx, time.Minute); s.Exit.After(begin.Add(time.Second)) {
		t.Errorf("exit %v after the beginning, behind the end of the context", s.Exit.Sub(begin))
	}
	if s := WithinContext(ctx, 100*time.Millisecond); s.Exit.After(begin.Add(500 * time.Millisecond)) {
		t.Errorf("exit %v after the beginning, want the patience", s.Exit.Sub(begin))
	}
	ended, end := context.WithDeadline(t.Context(), begin.Add(-time.Second))
	defer end()
	if s := WithinContext(ended, time.Minute); s.Exit.After(time.Now()) {
		t.Errorf("exit %v, though the context has ended", s.Exit)
	}
}

// TestEarlier: each point is the earlier one, and no schedule bounds nothing.
func TestEarlier(t *testing.T) {
	begin := time.Now()
	long, short := Within(begin, time.Minute), Within(begin, time.Second)
	if got := long.Earlier(short); got != short {
		t.Errorf("%+v, want the shorter", got)
	}
	if got := short.Earlier(long); got != short {
		t.Errorf("%+v, want the shorter", got)
	}
	if got := (Schedule{}).Earlier(long); got != long {
		t.Errorf("%+v, want the one there is", got)
	}
	if got := long.Earlier(Schedule{}); got != long {
		t.Errorf("%+v, want the one there is", got)
	}
	if s := (Schedule{}); !s.MayForward(begin) || s.MustAnswer(begin) {
		t.Error("no schedule bounds something")
	}
}

// TestPoints: forwarding ends at its point and not before, and so for the last answers.
func TestPoints(t *testing.T) {
	s := Within(time.Now(), time.Second)
	for _, tt := range []struct {
		at            time.Time
		forward, must bool
	}{
		{s.Forward.Add(-time.Millisecond), true, false},
		{s.Forward, false, false},
		{s.Answer.Add(-time.Millisecond), false, false},
		{s.Answer, false, true},
		{s.Exit, false, true},
	} {
		if s.MayForward(tt.at) != tt.forward || s.MustAnswer(tt.at) != tt.must {
			t.Errorf("%v before the exit: forward %v, must answer %v", s.Exit.Sub(tt.at), s.MayForward(tt.at), s.MustAnswer(tt.at))
		}
	}
}

// sequence runs a sequencer and tells what it calls, and when, in milliseconds after the beginning.
func sequence(run func(c *Sequencer)) (calls []string, at []int64) {
	begin := time.Now()
	var mu sync.Mutex
	note := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		calls, at = append(calls, what), append(at, time.Since(begin).Milliseconds())
	}
	c := NewSequencer(func() { note("forward") }, func() { note("answer") })
	go func() {
		<-c.Exited()
		note("exit")
	}()
	run(c)
	synctest.Wait()
	mu.Lock()
	defer mu.Unlock()
	return calls, at
}

// TestSequencer: the callbacks come at their points; a sequence that is brought forward goes by the earlier points, one that is
// put off does not; one that is stopped calls nothing.
func TestSequencer(t *testing.T) {
	want := []string{"forward", "forward", "answer", "forward", "answer", "exit"}
	synctest.Test(t, func(t *testing.T) {
		calls, at := sequence(func(c *Sequencer) {
			c.Begin(Within(time.Now(), time.Second))
			time.Sleep(2 * time.Second)
		})
		if !slices.Equal(calls, want) || !slices.Equal(at, []int64{800, 850, 850, 1000, 1000, 1000}) {
			t.Errorf("%v at %v", calls, at)
		}
	})
	for _, second := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			calls, at := sequence(func(c *Sequencer) {
				now := time.Now()
				c.Begin(Within(now, time.Second))
				time.Sleep(100 * time.Millisecond)
				c.Begin(Within(now, second))
				time.Sleep(10 * time.Second)
			})
			exit := min(second, time.Second).Milliseconds()
			if !slices.Equal(calls, want) || at[len(at)-1] != exit {
				t.Errorf("brought to %v: %v at %v", second, calls, at)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		calls, _ := sequence(func(c *Sequencer) {
			c.Begin(Within(time.Now(), time.Second))
			c.Stop()
			c.Begin(Within(time.Now(), time.Second))
			time.Sleep(2 * time.Second)
		})
		if !slices.Equal(calls, []string{"exit"}) {
			t.Errorf("stopped: %v", calls)
		}
	})
}

// TestSequencerHeldUp: a process that is held up over all points calls in order all the same.
func TestSequencerHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := sequence(func(c *Sequencer) {
			c.Begin(Within(time.Now().Add(-time.Minute), time.Second))
			time.Sleep(time.Second)
		})
		forward, answer, exit := slices.Index(calls, "forward"), slices.Index(calls, "answer"), slices.Index(calls, "exit")
		if forward < 0 || answer < forward || exit < answer {
			t.Errorf("%v: out of order", calls)
		}
	})
}

// TestMoment: a context tells when it ended, however late it is asked, and one without a note that it is now.
func TestMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		noted, stop := WithEndTime(ctx)
		defer stop()
		time.Sleep(time.Second)
		want := time.Now()
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		if got := EndTime(noted); !got.Equal(want) {
			t.Errorf("%v after it ended", got.Sub(want))
		}
		if got := EndTime(ctx); !got.Equal(time.Now()) {
			t.Errorf("without a note: %v, want now", got)
		}
	})
}
