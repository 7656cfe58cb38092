// Package ledger records the attempts of orders and decides how to handle a request that repeats
// one. An order is a keyed or unsafe request, identified by its class and its Idempotency-Key. The
// package has no clock and does no I/O. Package policy still selects the server and decides on
// retries; the ledger supplies the earlier attempts, to which policy applies the same rules.
package ledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"quillfront/policy"
)

// MaxAttempts limits the attempts of an order that may have run. An order that has reached the
// limit is not sent again.
const MaxAttempts = 16

// Instant is a point in time by two clocks: the wall clock, which may be adjusted in either
// direction, and a monotonic clock, which is valid within one boot of the machine.
type Instant struct {
	Wall int64  `cbor:"1,keyasint"` // Unix nanoseconds
	Boot uint64 `cbor:"2,keyasint"` // identifies the boot of the machine; 0: unknown
	Up   int64  `cbor:"3,keyasint"` // nanoseconds since boot, including suspend
}

// Since returns the time elapsed since then, and whether it is known, which it is only if both
// instants are from the same boot of the machine.
func (i Instant) Since(then Instant) (age time.Duration, known bool) {
	if i.Boot == 0 || i.Boot != then.Boot || i.Up < then.Up {
		return 0, false
	}
	return time.Duration(i.Up - then.Up), true
}

// Attempt is an attempt of an order that may have run on a server.
type Attempt struct {
	Server string  `cbor:"1,keyasint"`
	Zone   string  `cbor:"2,keyasint,omitempty"`
	Cell   int     `cbor:"3,keyasint,omitempty"`
	At     Instant `cbor:"4,keyasint"` // just before its first byte was sent
	Number int     `cbor:"5,keyasint"` // counts the attempts of the entry, from 1
}

// Entry is the record of one order. The zero value is the entry of an unknown order.
type Entry struct {
	Fingerprint  [32]byte  `cbor:"1,keyasint"`           // of the request's contents
	FirstSeen    Instant   `cbor:"2,keyasint"`           // when the order was first accepted
	Attempts     []Attempt `cbor:"3,keyasint,omitempty"` // those that may have run
	AttemptCount int       `cbor:"4,keyasint,omitempty"` // attempts started so far
	Served       bool      `cbor:"5,keyasint,omitempty"`
	Reply        []byte    `cbor:"6,keyasint,omitempty"` // as encoded by the caller; nil: not kept
}

// RecordAttempt records the start of an attempt and returns its number. The entry must be stored
// before the first byte of the attempt is sent.
func (e *Entry) RecordAttempt(a Attempt) int {
	e.AttemptCount++
	a.Number = e.AttemptCount
	e.Attempts = append(e.Attempts, a)
	return a.Number
}

// RecordNotRun records that an attempt provably did not run.
func (e *Entry) RecordNotRun(number int) {
	e.Attempts = slices.DeleteFunc(e.Attempts, func(a Attempt) bool { return a.Number == number })
}

// RecordReply records that an attempt was served, and its encoded reply. Later replies are ignored,
// so that all repeats of a request get the same one.
func (e *Entry) RecordReply(reply []byte) {
	if !e.Served {
		e.Served, e.Reply = true, reply
	}
}

// Action is the way to handle a request that names an order.
type Action int

// The actions.
const (
	Fresh    Action = iota // send it: no earlier attempt may have run
	Resend                 // send it only where and while servers drop repeats of PriorAttempts
	Replay                 // answer with the stored reply
	Mismatch               // reject it: the key was used for a different request
	Unknown                // do not send it: it may have run, and the client is told so
	Done                   // do not send it: it was served, and the reply is not kept
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"fresh", "again", "replay", "mismatch", "unknown", "done"}[a]
}

// Decision is the result of Decide.
type Decision struct {
	Action        Action
	PriorAttempts []policy.PriorAttempt // with Resend: for policy
}

// Decide returns how to handle a request of class c with the fingerprint print that names the order
// with entry e; nil is an unknown order. margin is subtracted from the time for which servers drop
// repeats: it covers the time between a send and its arrival. Entries older than retention are
// ignored; 0 is no limit.
//
// It prevents an effect from taking place twice because of two requests, as policy does for two
// attempts of one request. An unsafe order that may have run is never sent again. A keyed one is
// sent again only within the window that starts with the first attempt that may have run, and only
// in the group that received it; policy enforces both from PriorAttempts. If the age of an attempt
// is unknown, after a restart of the machine or because the clocks disagree, the window counts as
// over. The cost is that a client is told that its order may have run although no server has ever
// started it.
func Decide(c policy.Class, e *Entry, print [32]byte, now Instant, margin, retention time.Duration) Decision {
	switch {
	case e == nil || e.FirstSeen == (Instant{}) || retention > 0 && approximateAge(now, e.FirstSeen) > retention:
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
	d := Decision{Action: Resend}
	for _, a := range e.Attempts {
		age, known := now.Since(a.At)
		if !known || age >= c.KeyTTL-margin {
			return Decision{Action: Unknown}
		}
		d.PriorAttempts = append(d.PriorAttempts, policy.PriorAttempt{Zone: a.Zone, Cell: a.Cell, Age: age})
	}
	return d
}

// approximateAge returns the time elapsed since then, for uses that need not be exact. It uses the
// wall clock if the monotonic clocks cannot be compared.
func approximateAge(now, then Instant) time.Duration {
	if age, known := now.Since(then); known {
		return age
	}
	return time.Duration(now.Wall - then.Wall)
}

// entryVersion is the first byte of each encoded entry.
const entryVersion = 1

// ErrInvalidEntry reports that bytes are not an entry of a version that this program supports.
var ErrInvalidEntry = errors.New("ledger: not an entry of a supported version")

// Marshal encodes e as a version byte followed by CBOR (RFC 8949) with integer map keys.
func (e *Entry) Marshal() ([]byte, error) {
	b, err := cbor.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	return append([]byte{entryVersion}, b...), nil
}

// Unmarshal decodes an entry that Marshal has encoded.
func Unmarshal(b []byte) (*Entry, error) {
	if len(b) == 0 || b[0] != entryVersion {
		return nil, ErrInvalidEntry
	}
	e := &Entry{}
	if err := cbor.Unmarshal(b[1:], e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidEntry, err)
	}
	return e, nil
}
