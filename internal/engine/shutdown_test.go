package engine

import (
	"errors"
	"testing"
	"time"

	"quillfront/policy"
)

// TestStopSendingTakesBack: an attempt that waits for a connection is called off, proves never to have run, and has no
// successor; its request is refused at once.
func TestStopSendingTakesBack(t *testing.T) {
	e, f := start(t, "a", "b")
	r, released := take(t, e, "unsafe", "n")
	next(t, "attempt", f.started)
	e.StopSending(r)
	if got := next(t, "result", r.Result()); got.Kind != Refused || !got.NotRun || got.Attempts != 1 {
		t.Errorf("result %+v, want refused, not run, after one attempt", got)
	}
	next(t, "release", released)
}

// TestStopSendingLeavesWhatIsOut: an attempt that its server may have seen goes on, and its answer is the request's.
func TestStopSendingLeavesWhatIsOut(t *testing.T) {
	e, f := start(t, "a", "b")
	r, _ := take(t, e, "safe", "n")
	a := next(t, "attempt", f.started)
	a.Sending(func() { t.Error("called off") })
	e.StopSending(r)
	if len(r.Result()) > 0 {
		t.Error("answered before its server did")
	}
	f.finish(a, AttemptResult{Status: policy.OK, Reply: "reply"})
	if got := next(t, "result", r.Result()); got.Kind != Served {
		t.Errorf("result %+v", got)
	}
	e.StopSending(r) // it has ended
	e.GiveUp(r)
	if len(r.Result()) > 0 {
		t.Error("a second result")
	}
}

// TestGiveUpAnswers: a request whose attempt hangs has its result at once, by the module's word, and only one.
func TestGiveUpAnswers(t *testing.T) {
	for class, want := range map[string]ResultKind{"safe": Refused, "unsafe": Failed} {
		e, f := start(t, "a")
		r, released := take(t, e, class, "n")
		a := next(t, "attempt", f.started)
		a.Sending(func() {})
		e.GiveUp(r)
		if got := next(t, "result", r.Result()); got.Kind != want || got.NotRun {
			t.Errorf("%s: result %+v, want %v and no promise that it has not run", class, got, want)
		}
		f.finish(a, AttemptResult{Status: policy.OK, Reply: "late"})
		next(t, "release", released)
		if len(r.Result()) > 0 {
			t.Errorf("%s: a second result", class)
		}
	}
}

// TestShutdownBeforeTake: a request that was stopped or given up just before it is handed over is not taken.
func TestShutdownBeforeTake(t *testing.T) {
	e, f := start(t, "a")
	for _, stop := range []func(*Request){e.StopSending, e.GiveUp} {
		r := &Request{Class: "safe", Timeout: time.Second}
		stop(r)
		if err := e.Submit(r, e.Now()); !errors.Is(err, ErrClosed) {
			t.Errorf("Take: %v, want ErrClosed", err)
		}
	}
	if len(f.started) > 0 || e.Snapshot().Retained > 0 {
		t.Error("it was taken")
	}
}

// TestShutdownOfAdopted: an adopted request that may not be sent is not handed to the module any more, and one that is given
// up is told as one that may have run.
func TestShutdownOfAdopted(t *testing.T) {
	e, f := start(t, "a")
	for _, end := range []func(r *Request){
		func(r *Request) { e.StopSending(r); e.DispatchDeferred(r, e.Now(), func() { t.Error("handed over") }) },
		func(r *Request) { e.GiveUp(r) },
	} {
		r := &Request{Class: "safe", Timeout: time.Second}
		if err := e.SubmitDeferred(r); err != nil {
			t.Fatal(err)
		}
		end(r)
		if got := next(t, "result", r.Result()); got.Kind != Failed || !got.MayHaveRun {
			t.Errorf("result %+v, want failed, may have run", got)
		}
	}
	if len(f.started) > 0 {
		t.Error("something was sent")
	}
}

// mute leaves open what it is told to give up.
type mute struct{ Module }

func (mute) GiveUp(policy.Time, policy.RequestID, policy.Actions) {}

// TestGiveUpWhateverTheModuleDoes: no request stays open.
func TestGiveUpWhateverTheModuleDoes(t *testing.T) {
	e, f := start(t, "a")
	e.module = mute{e.module}
	r, _ := take(t, e, "safe", "n")
	a := next(t, "attempt", f.started)
	e.GiveUp(r)
	if got := next(t, "result", r.Result()); got.Kind != Failed {
		t.Errorf("result %+v", got)
	}
	f.finish(a, AttemptResult{Status: policy.Timeout})
}
