package shutdown

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestForTerminationExitsBeforeKill checks, for different longest deadlines, that a process that
// noticed the signal late and is stalled again at its last responses exits before the earliest
// SIGKILL, and that the times of the schedule are in order.
func TestForTerminationExitsBeforeKill(t *testing.T) {
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
			t.Errorf("longest %v: after a stall the last responses come %v after the exit", longest, held.Sub(s.Exit))
		}
		if !s.Forward.Before(s.Answer) || !s.Answer.Before(s.Exit) || s.Accept.After(s.Exit) {
			t.Errorf("longest %v: times out of order: %+v", longest, s)
		}
		// A request with the longest deadline that arrives on the latest new connection, 0.4 s
		// after the signal, loses little of its time.
		if full := signal.Add(350*time.Millisecond + min(longest, 3*time.Second)); s.Answer.Before(full) {
			t.Errorf("longest %v: responses are due %v too early", longest, full.Sub(s.Answer))
		}
	}
}

// TestWithin checks that the times are in order for short timeouts too, and that the deadline of a
// context shortens the timeout.
func TestWithin(t *testing.T) {
	begin := time.Now()
	for _, timeout := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, time.Minute} {
		s := Within(begin, timeout)
		if !s.Exit.Equal(begin.Add(timeout)) || !s.Forward.Before(s.Answer) || !s.Answer.Before(s.Exit) || !begin.Before(s.Forward) {
			t.Errorf("%v: %+v", timeout, s)
		}
	}
	ctx, cancel := context.WithDeadline(t.Context(), begin.Add(time.Second))
	defer cancel()
	if s := WithinContext(ctx, time.Minute); s.Exit.After(begin.Add(time.Second)) {
		t.Errorf("exit %v after the beginning, after the deadline of the context", s.Exit.Sub(begin))
	}
	if s := WithinContext(ctx, 100*time.Millisecond); s.Exit.After(begin.Add(500 * time.Millisecond)) {
		t.Errorf("exit %v after the beginning, want the timeout", s.Exit.Sub(begin))
	}
	ended, end := context.WithDeadline(t.Context(), begin.Add(-time.Second))
	defer end()
	if s := WithinContext(ended, time.Minute); s.Exit.After(time.Now()) {
		t.Errorf("exit at %v, but the context is done", s.Exit)
	}
}

// TestEarlier checks that Earlier picks the earlier times and ignores a zero schedule, and that a
// zero schedule limits nothing.
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
		t.Error("the zero schedule limits forwarding or answering")
	}
}

// TestScheduleLimits checks that forwarding ends at Forward and not before, and that answers are
// due from Answer on and not before.
func TestScheduleLimits(t *testing.T) {
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

// recordCalls runs a sequencer and returns its callbacks in order, with their times in milliseconds
// after the beginning.
func recordCalls(run func(c *Sequencer)) (calls []string, at []int64) {
	begin := time.Now()
	var mu sync.Mutex
	record := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		calls, at = append(calls, what), append(at, time.Since(begin).Milliseconds())
	}
	c := NewSequencer(func() { record("forward") }, func() { record("answer") })
	go func() {
		<-c.Exited()
		record("exit")
	}()
	run(c)
	synctest.Wait()
	mu.Lock()
	defer mu.Unlock()
	return calls, at
}

// TestSequencer checks that the callbacks run at their times, that a second Begin can move the
// times forward but not back, and that a stopped sequence calls nothing.
func TestSequencer(t *testing.T) {
	want := []string{"forward", "forward", "answer", "forward", "answer", "exit"}
	synctest.Test(t, func(t *testing.T) {
		calls, at := recordCalls(func(c *Sequencer) {
			c.Begin(Within(time.Now(), time.Second))
			time.Sleep(2 * time.Second)
		})
		if !slices.Equal(calls, want) || !slices.Equal(at, []int64{800, 850, 850, 1000, 1000, 1000}) {
			t.Errorf("%v at %v", calls, at)
		}
	})
	for _, second := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			calls, at := recordCalls(func(c *Sequencer) {
				now := time.Now()
				c.Begin(Within(now, time.Second))
				time.Sleep(100 * time.Millisecond)
				c.Begin(Within(now, second))
				time.Sleep(10 * time.Second)
			})
			exit := min(second, time.Second).Milliseconds()
			if !slices.Equal(calls, want) || at[len(at)-1] != exit {
				t.Errorf("second timeout %v: %v at %v", second, calls, at)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		calls, _ := recordCalls(func(c *Sequencer) {
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

// TestSequencerAfterStall checks that the callbacks run in order even if a stall has made all of
// them due at once.
func TestSequencerAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, _ := recordCalls(func(c *Sequencer) {
			c.Begin(Within(time.Now().Add(-time.Minute), time.Second))
			time.Sleep(time.Second)
		})
		forward, answer, exit := slices.Index(calls, "forward"), slices.Index(calls, "answer"), slices.Index(calls, "exit")
		if forward < 0 || answer < forward || exit < answer {
			t.Errorf("%v: callbacks out of order", calls)
		}
	})
}

// TestEndTime checks that EndTime returns the time at which a context was done, however late it is
// called, and the current time for a context without a recorded time.
func TestEndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		recorded, stop := WithEndTime(ctx)
		defer stop()
		time.Sleep(time.Second)
		want := time.Now()
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		if got := EndTime(recorded); !got.Equal(want) {
			t.Errorf("EndTime is %v after the end of the context", got.Sub(want))
		}
		if got := EndTime(ctx); !got.Equal(time.Now()) {
			t.Errorf("without a recorded time: %v, want now", got)
		}
	})
}
