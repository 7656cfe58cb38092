package handover

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	idsFile      = "request-ids-1" // the number is that of the format
	idsKeySize   = 16              // bytes, at the start of the file
	idsHeader    = 64              // bytes before the slots
	idsBuckets   = 2048
	idsPerBucket = 16
	idsSize      = idsHeader + 8*idsBuckets*idsPerBucket // bytes

	// maxClaimRounds limits how often a claim starts again because another process has changed the
	// same bucket.
	maxClaimRounds = 32
	// maxOpenTime is how long an ID counts as open if its process never says that it has ended.
	maxOpenTime = 30 * time.Minute
)

// ErrIDsLost means that the table of request IDs can no longer be accessed, because its file was
// truncated or its disk has failed.
var ErrIDsLost = errors.New("handover: the table of request IDs is lost")

// RequestIDs is the table of the request IDs that are open, or may have run, at any process of the
// sidecar. It is a file of fixed size that the processes map into their memory, so that neither a
// process that stands still nor one that has died holds up the others. The table holds hashes: with
// full buckets, one in some hundred million new IDs is taken for one that is in use. Its methods are
// safe for concurrent use.
type RequestIDs struct {
	owner    uint64 // number of this process
	alive    func(owner uint64) bool
	lifetime time.Duration // of the ID of a request that may have run
	onLost   func(error)
	clock    func() time.Duration // a monotonic clock that all processes share

	mu      sync.Mutex
	now     time.Duration // when the present access began
	key     [idsKeySize]byte
	mapping []byte // nil: closed or lost
	slots   []uint64
}

// OpenRequestIDs opens the table of request IDs, creating it if necessary. The ID of a request that
// may have run stays in use for lifetime. onLost is called at most once if the table can no longer be
// accessed; this process then knows only its own IDs.
func (d *Dir) OpenRequestIDs(lifetime time.Duration, onLost func(error)) (*RequestIDs, error) {
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	path := filepath.Join(d.path, idsFile)
	if info, err := os.Stat(path); err != nil || info.Size() != idsSize {
		if err := d.createIDs(); err != nil {
			return nil, err
		}
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer f.Close() // the mapping remains
	mapping, err := syscall.Mmap(int(f.Fd()), 0, idsSize, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", path, err)
	}
	t := &RequestIDs{
		owner: ownerNumber(d.name), alive: d.ownerAlive, lifetime: lifetime, onLost: onLost, clock: sharedClock(),
		mapping: mapping, slots: unsafe.Slice((*uint64)(unsafe.Pointer(&mapping[idsHeader])), idsBuckets*idsPerBucket),
	}
	copy(t.key[:], mapping)
	return t, nil
}

// createIDs writes an empty table with a new key. All of the file is written, so that its disk is not
// found to be full later.
func (d *Dir) createIDs() error {
	text := make([]byte, idsSize)
	rand.Read(text[:idsKeySize])
	return d.replaceFile(idsFile, text)
}

// Close releases the mapping. The IDs of this process stay in the table.
func (t *RequestIDs) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unmap()
}

// unmap releases the mapping. t.mu must be held.
func (t *RequestIDs) unmap() {
	if t.mapping != nil {
		syscall.Munmap(t.mapping)
		t.mapping, t.slots = nil, nil
	}
}

// Claim records the ID of a request that is about to be open at this process, and reports false if the
// ID is in use at any process. singleUse says that the ID must not be used again if its request may have
// run. The caller makes sure that the ID is not open at this process.
func (t *RequestIDs) Claim(id string, singleUse bool) (claimed bool) {
	claimed = true
	t.access(id, func(b bucket, tag uint64) { claimed = t.claim(b, tag, singleUse) })
	return claimed
}

// Spend records that the request with an ID has ended at this process and may have run.
func (t *RequestIDs) Spend(id string) {
	t.access(id, func(b bucket, tag uint64) {
		spent := newSlot(tag, slotSpent, t.owner, t.now)
		if b.replace(tag, t.owner, slot.open, spent) {
			return
		}
		for range maxClaimRounds { // there was no room for its entry
			if b.insert(spent, t.free) != insertContended {
				return
			}
		}
	})
}

// Release records that the request with an ID has ended at this process and may be repeated.
func (t *RequestIDs) Release(id string) {
	t.access(id, func(b bucket, tag uint64) { b.replace(tag, t.owner, slot.open, 0) })
}

// Unspend takes back Spend: the request has turned out not to have run.
func (t *RequestIDs) Unspend(id string) {
	t.access(id, func(b bucket, tag uint64) { b.replace(tag, t.owner, slot.spent, 0) })
}

// access calls f with the bucket and the tag of an ID. A memory fault, which a truncated file or a
// failed disk causes, makes t unusable.
func (t *RequestIDs) access(id string, f func(b bucket, tag uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mapping == nil {
		return
	}
	t.now = t.clock()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer t.loseOnFault()
	var text [128]byte
	sum := sha256.Sum256(append(append(text[:0], t.key[:]...), id...))
	first := binary.LittleEndian.Uint64(sum[:]) % idsBuckets * idsPerBucket
	f(t.slots[first:first+idsPerBucket], uint64(binary.LittleEndian.Uint32(sum[8:])))
}

// loseOnFault ends the use of the table if a memory fault has ended an access. Other panics go on.
func (t *RequestIDs) loseOnFault() {
	switch fault := recover().(type) {
	case nil:
	case interface{ Addr() uintptr }: // see debug.SetPanicOnFault
		t.unmap()
		t.onLost(fmt.Errorf("%w: %v", ErrIDsLost, fault))
	default:
		panic(fault)
	}
}

// claim is Claim in the bucket of the ID.
func (t *RequestIDs) claim(b bucket, tag uint64, singleUse bool) bool {
	state := slotOpen
	if singleUse {
		state = slotOpenSingleUse
	}
	for range maxClaimRounds {
		if t.inUse(b, tag) {
			return false
		}
		switch b.insert(newSlot(tag, state, t.owner, t.now), t.free) {
		case insertFull:
			return true // this process alone knows the ID
		case insertContended:
			continue
		}
		// Another process may have inserted the ID into another slot meanwhile. At least one of both
		// sees the other's entry here; if both do, both start again.
		if b.count(tag) == 1 {
			return true
		}
		b.replace(tag, t.owner, slot.open, 0)
	}
	return false
}

// inUse reports whether an ID is in use. It removes entries that no longer count.
func (t *RequestIDs) inUse(b bucket, tag uint64) bool {
	for i := range b {
		s := b.load(i)
		if s.empty() || s.tag() != tag {
			continue
		}
		switch {
		case t.free(s):
			b.swap(i, s, 0)
		case s.spent():
			return true
		case s.owner() != t.owner && t.alive(s.owner()):
			return true
		case s.state() == slotOpenSingleUse: // its process has died, and the request may have run
			b.swap(i, s, newSlot(tag, slotSpent, t.owner, t.now))
			return true
		default:
			b.swap(i, s, 0)
		}
	}
	return false
}

// free reports whether a slot can be used for another ID because its own no longer counts.
func (t *RequestIDs) free(s slot) bool {
	switch age := s.age(t.now); {
	case s.empty():
		return true
	case s.spent():
		return age > t.lifetime
	default:
		return age > maxOpenTime
	}
}

// bucket holds the slots in which an ID can be.
type bucket []uint64

func (b bucket) load(i int) slot { return slot(atomic.LoadUint64(&b[i])) }

// swap replaces a slot, unless another process has changed it.
func (b bucket) swap(i int, old, next slot) bool {
	return atomic.CompareAndSwapUint64(&b[i], uint64(old), uint64(next))
}

// count returns how many slots have a tag.
func (b bucket) count(tag uint64) (n int) {
	for i := range b {
		if s := b.load(i); !s.empty() && s.tag() == tag {
			n++
		}
	}
	return n
}

// replace replaces the entry of a tag that an owner has made and that is as asked.
func (b bucket) replace(tag, owner uint64, asked func(slot) bool, next slot) bool {
	for i := range b {
		if s := b.load(i); !s.empty() && s.tag() == tag && s.owner() == owner && asked(s) {
			return b.swap(i, s, next)
		}
	}
	return false
}

// insertResult is the result of bucket.insert.
type insertResult int

const (
	inserted        insertResult = iota
	insertFull                   // the requests of all entries are open
	insertContended              // another process has changed the slot meanwhile
)

// insert writes s into a slot that is free, or else over the entry of the request that ended first.
func (b bucket) insert(s slot, free func(slot) bool) insertResult {
	victim, victimSlot := -1, slot(0)
	for i := range b {
		old := b.load(i)
		if free(old) {
			victim, victimSlot = i, old
			break
		}
		if old.spent() && (victim < 0 || old.age(s.time()) > victimSlot.age(s.time())) {
			victim, victimSlot = i, old
		}
	}
	switch {
	case victim < 0:
		return insertFull
	case b.swap(victim, victimSlot, s):
		return inserted
	}
	return insertContended
}

// slot is an entry of the table in one word, which processes replace atomically:
//
//	tag, 32 bits | state, 2 bits | owner, 10 bits | time in units of slotTimeUnit, 20 bits
type slot uint64

// slotState is the state of a slot.
type slotState uint64

const (
	slotEmpty         slotState = iota
	slotOpen                    // a request with the ID is open
	slotOpenSingleUse           // the same, and the ID must not be used again if that may have run
	slotSpent                   // the request has ended and may have run

	slotTimeUnit   = 100 * time.Millisecond
	slotTimeBits   = 20
	slotOwnerBits  = 10
	slotStateBits  = 2
	slotOwnerShift = slotTimeBits
	slotStateShift = slotOwnerShift + slotOwnerBits
	slotTagShift   = slotStateShift + slotStateBits
)

// lowBits returns a mask of n bits.
func lowBits(n int) uint64 { return 1<<n - 1 }

func newSlot(tag uint64, state slotState, owner uint64, at time.Duration) slot {
	return slot(tag<<slotTagShift | uint64(state)<<slotStateShift | owner<<slotOwnerShift | uint64(at/slotTimeUnit)&lowBits(slotTimeBits))
}

func (s slot) empty() bool   { return s.state() == slotEmpty }
func (s slot) spent() bool   { return s.state() == slotSpent }
func (s slot) open() bool    { return s.state() == slotOpen || s.state() == slotOpenSingleUse }
func (s slot) tag() uint64   { return uint64(s) >> slotTagShift }
func (s slot) owner() uint64 { return uint64(s) >> slotOwnerShift & lowBits(slotOwnerBits) }
func (s slot) state() slotState {
	return slotState(uint64(s) >> slotStateShift & lowBits(slotStateBits))
}

// time returns when the slot was written, modulo the range of the field.
func (s slot) time() time.Duration {
	return time.Duration(uint64(s)&lowBits(slotTimeBits)) * slotTimeUnit
}

// age returns how long ago the slot was written. It is right for slots younger than half the range of the
// time field, some 14 hours. A slot that another process has written since now was read has no age.
func (s slot) age(now time.Duration) time.Duration {
	const half = 1 << (slotTimeBits - 1)
	units := (uint64(now/slotTimeUnit) - uint64(s)) & lowBits(slotTimeBits)
	if units >= half {
		return 0
	}
	return time.Duration(units) * slotTimeUnit
}
