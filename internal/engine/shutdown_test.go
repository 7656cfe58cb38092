package engine

import (
	"errors"
	"testing"
	"time"

	"quillfront/policy"
)

// TestStopSendingCancelsUnsent verifies that StopSending cancels an attempt that waits for a
// connection: it counts as not executed, there is no retry, and the request is refused at once.
func TestStopSendingCancelsUnsent(t *testing.T) {
	e, f := startEngine(t, "a", "b")
	r, released := submit(t, e, "unsafe", "n")
	receive(t, "attempt", f.started)
	e.StopSending(r)
	if got := receive(t, "result", r.Result()); got.Kind != Refused || !got.NotRun || got.Attempts != 1 {
		t.Errorf("result %+v, want refused, not run, after one attempt", got)
	}
	receive(t, "release", released)
}

// TestStopSendingKeepsSentAttempts verifies that an attempt that the server may have received
// continues, and that its reply becomes the result.
func TestStopSendingKeepsSentAttempts(t *testing.T) {
	e, f := startEngine(t, "a", "b")
	r, _ := submit(t, e, "safe", "n")
	a := receive(t, "attempt", f.started)
	a.Sending(func() { t.Error("the attempt was canceled") })
	e.StopSending(r)
	if len(r.Result()) > 0 {
		t.Error("the request has a result before the server replied")
	}
	f.finish(a, AttemptResult{Status: policy.OK, Reply: "reply"})
	if got := receive(t, "result", r.Result()); got.Kind != Served {
		t.Errorf("result %+v", got)
	}
	e.StopSending(r) // it has ended
	e.GiveUp(r)
	if len(r.Result()) > 0 {
		t.Error("a second result")
	}
}

// TestGiveUpEndsRequestAtOnce verifies that GiveUp ends a request whose attempt hangs at once, with
// the result that the module chooses, and that a late reply yields no second result.
func TestGiveUpEndsRequestAtOnce(t *testing.T) {
	for class, want := range map[string]ResultKind{"safe": Refused, "unsafe": Failed} {
		e, f := startEngine(t, "a")
		r, released := submit(t, e, class, "n")
		a := receive(t, "attempt", f.started)
		a.Sending(func() {})
		e.GiveUp(r)
		if got := receive(t, "result", r.Result()); got.Kind != want || got.NotRun {
			t.Errorf("%s: result %+v, want %v without NotRun", class, got, want)
		}
		f.finish(a, AttemptResult{Status: policy.OK, Reply: "late"})
		receive(t, "release", released)
		if len(r.Result()) > 0 {
			t.Errorf("%s: a second result", class)
		}
	}
}

// TestShutdownBeforeSubmit verifies that Submit rejects a request for which StopSending or GiveUp
// was called before.
func TestShutdownBeforeSubmit(t *testing.T) {
	e, f := startEngine(t, "a")
	for _, stop := range []func(*Request){e.StopSending, e.GiveUp} {
		r := &Request{Class: "safe", Timeout: time.Second}
		stop(r)
		if err := e.Submit(r, e.Now()); !errors.Is(err, ErrClosed) {
			t.Errorf("Submit: %v, want ErrClosed", err)
		}
	}
	if len(f.started) > 0 || e.Snapshot().Retained > 0 {
		t.Error("the request was accepted")
	}
}

// TestShutdownOfDeferredRequest verifies that a deferred request is not dispatched after
// StopSending, and that StopSending and GiveUp end it as one that may have run.
func TestShutdownOfDeferredRequest(t *testing.T) {
	e, f := startEngine(t, "a")
	for _, end := range []func(r *Request){
		func(r *Request) {
			e.StopSending(r)
			e.DispatchDeferred(r, e.Now(), func() { t.Error("the request was dispatched") })
		},
		func(r *Request) { e.GiveUp(r) },
	} {
		r := &Request{Class: "safe", Timeout: time.Second}
		if err := e.SubmitDeferred(r); err != nil {
			t.Fatal(err)
		}
		end(r)
		if got := receive(t, "result", r.Result()); got.Kind != Failed || !got.MayHaveRun {
			t.Errorf("result %+v, want failed, may have run", got)
		}
	}
	if len(f.started) > 0 {
		t.Error("an attempt was started")
	}
}

// giveUpIgnorer is a module that ignores GiveUp.
type giveUpIgnorer struct{ Module }

func (giveUpIgnorer) GiveUp(policy.Time, policy.RequestID, policy.Actions) {}

// TestGiveUpIgnoredByModule verifies that GiveUp ends the request even if the module ignores it.
func TestGiveUpIgnoredByModule(t *testing.T) {
	e, f := startEngine(t, "a")
	e.module = giveUpIgnorer{e.module}
	r, _ := submit(t, e, "safe", "n")
	a := receive(t, "attempt", f.started)
	e.GiveUp(r)
	if got := receive(t, "result", r.Result()); got.Kind != Failed {
		t.Errorf("result %+v", got)
	}
	f.finish(a, AttemptResult{Status: policy.Timeout})
}
