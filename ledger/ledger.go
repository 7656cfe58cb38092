// Package ledger decides what follows from what is known of an order: a keyed or unsafe request, by its class and its
// Idempotency-Key. It has no clock and does no I/O. Which server gets a request and whether to try again stays with policy;
// the ledger only adds what happened before, under the same rules.
package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quillfront/policy"
)

// MaxAttempts bounds the attempts that an entry holds. One that has more that may have run is not sent again.
const MaxAttempts = 16

// Instant is a moment by two clocks. The wall clock may be set back and forth; the other cannot, and ends with the machine's run.
type Instant struct {
	Wall int64  `cbor:"1,keyasint"` // Unix nanoseconds
	Boot uint64 `cbor:"2,keyasint"` // names the run of the machine; 0: not known
	Up   int64  `cbor:"3,keyasint"` // nanoseconds since it began, sleep counted
}

// Since returns how long ago then was, and whether that can be known: only within one run of the machine.
func (i Instant) Since(then Instant) (age time.Duration, known bool) {
	if i.Boot == 0 || i.Boot != then.Boot || i.Up < then.Up {
		return 0, false
	}
	return time.Duration(i.Up - then.Up), true
}

// Attempt is a send of an order that may have run.
type Attempt struct {
	Server string  `cbor:"1,keyasint"`
	Zone   string  `cbor:"2,keyasint,omitempty"`
	Cell   int     `cbor:"3,keyasint,omitempty"`
	At     Instant `cbor:"4,keyasint"` // just before its first byte was sent
	Number int     `cbor:"5,keyasint"` // of the entry's, from 1
}

// Entry is what is known of one order. Its zero value is one of which nothing is.
type Entry struct {
	Fingerprint  [32]byte  `cbor:"1,keyasint"` // tells what was asked for from anything else
	FirstSeen    Instant   `cbor:"2,keyasint"` // when it was first taken
	Attempts     []Attempt `cbor:"3,keyasint,omitempty"`
	AttemptCount int       `cbor:"4,keyasint,omitempty"` // attempts ever begun
	Served       bool      `cbor:"5,keyasint,omitempty"`
	Reply        []byte    `cbor:"6,keyasint,omitempty"` // as a front wrote it; nil: none is kept
}

// RecordAttempt notes that an attempt begins and returns its number. It must be kept before the attempt's first byte is sent.
func (e *Entry) RecordAttempt(a Attempt) int {
	e.AttemptCount++
	a.Number = e.AttemptCount
	e.Attempts = append(e.Attempts, a)
	return a.Number
}

// RecordNotRun notes that an attempt is proven never to have run.
func (e *Entry) RecordNotRun(number int) {
	e.Attempts = slices.DeleteFunc(e.Attempts, func(a Attempt) bool { return a.Number == number })
}

// RecordReply notes that an attempt was served, and the answer, unless there is one: whoever asks again gets one and the same.
func (e *Entry) RecordReply(answer []byte) {
	if !e.Served {
		e.Served, e.Reply = true, answer
	}
}

// Action is what to do with a request that names an order.
type Action int

// The kinds.
const (
	Fresh    Action = iota // send it: nothing was, or nothing that ran
	Resend                 // send it where and while repeats of Past are dropped
	Replay                 // give the answer that is kept
	Mismatch               // the key was used for something else: send nothing
	Unknown                // it may have run, and must not be sent: neither promise nor refuse
	Done                   // it was served, and the answer is no longer kept
)

// String names the kind.
func (k Action) String() string {
	return [...]string{"fresh", "again", "replay", "mismatch", "unknown", "done"}[k]
}

// Decision is a judgement.
type Decision struct {
	Action        Action
	PriorAttempts []policy.PriorAttempt // Again: for the decision module
}

// Decide says what follows for a request of class c, with the print of what it asks for, that names the order of which e is
// known; nil is nothing. Margin is taken off the time for which servers drop repeats: what may pass between a send and its
// arrival. Entries older than retention count for nothing; 0 is no bound.
//
// It guards against an effect that takes place twice by two requests, as policy does by two attempts of one. An unsafe order
// that may have run is never sent again. A keyed one is, within the window that began with the first such attempt and in the
// group that got it; policy keeps to both by Past. An age that cannot be known, after the machine's restart or by clocks that
// disagree, is as good as one past the window. It does harm where a server had in truth never begun: the client is told that
// nobody knows.
func Decide(c policy.Class, e *Entry, print [32]byte, now Instant, margin, retention time.Duration) Decision {
	switch {
	case e == nil || e.FirstSeen == (Instant{}) || retention > 0 && old(now, e.FirstSeen) > retention:
		return Decision{Action: Fresh}
	case e.Fingerprint != print:
		return Decision{Action: Mismatch}
	case e.Served && e.Reply != nil:
		return Decision{Action: Replay}
	case e.Served:
		return Decision{Action: Done}
	case len(e.Attempts) == 0:
		return Decision{Action: Fresh}
	case c.Effect != policy.Keyed || len(e.Attempts) >= MaxAttempts:
		return Decision{Action: Unknown}
	}
	v := Decision{Action: Resend}
	for _, a := range e.Attempts {
		age, known := now.Since(a.At)
		if !known || age >= c.KeyTTL-margin {
			return Decision{Action: Unknown}
		}
		v.PriorAttempts = append(v.PriorAttempts, policy.PriorAttempt{Zone: a.Zone, Cell: a.Cell, Age: age})
	}
	return v
}

// old is how long ago then was, for what is not exact: by the wall clock where no other is the same.
func old(now, then Instant) time.Duration {
	if age, known := now.Since(then); known {
		return age
	}
	return time.Duration(now.Wall - then.Wall)
}

// version begins each entry as it is kept.
const version = 1

// ErrInvalidEntry tells that bytes are no entry of a version that this program knows.
var ErrInvalidEntry = errors.New("ledger: no entry of a known version")

// Marshal returns e as bytes: a version, and CBOR (RFC 8949) with numbers for names.
func (e *Entry) Marshal() ([]byte, error) {
	b, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return append([]byte{version}, b...), nil
}

// Unmarshal reads an entry from bytes.
func Unmarshal(b []byte) (*Entry, error) {
	if len(b) == 0 || b[0] != version {
		return nil, ErrInvalidEntry
	}
	e := &Entry{}
	if err := cbor.Unmarshal(b[1:], e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidEntry, err)
	}
	return e, nil
}
