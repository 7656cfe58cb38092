package handover

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const idLifetime = 30 * time.Second

// idProcess is the view of one process of the sidecar.
type idProcess struct {
	dir  *Dir
	ids  *RequestIDs
	lost atomic.Int32 // calls of onLost
}

// openIDs registers a process in the directory at path. clock, unless nil, replaces its clock.
func openIDs(t *testing.T, path string, clock func() time.Duration) *idProcess {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	p := &idProcess{dir: d}
	p.ids, err = d.OpenRequestIDs(idLifetime, func(err error) {
		p.lost.Add(1)
		if !errors.Is(err, ErrIDsLost) {
			t.Errorf("lost: %v", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if clock != nil {
		p.ids.clock = clock
	}
	t.Cleanup(p.exit)
	return p
}

// exit ends the process; its IDs stay in the table.
func (p *idProcess) exit() {
	p.ids.Close()
	p.dir.Close()
}

// TestIDsOfOtherProcess guards against an ID that two processes use at once, or again although its
// request may have run.
func TestIDsOfOtherProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	now := time.Hour
	clock := func() time.Duration { return now }
	one, two := openIDs(t, path, clock), openIDs(t, path, clock)
	claims := func(p *idProcess, want bool, when string) {
		t.Helper()
		if got := p.ids.Claim("a", true); got != want {
			t.Errorf("%s: claimed %v, want %v", when, got, want)
		}
	}
	claims(one, true, "new")
	claims(two, false, "open at the other process")
	one.ids.Release("a")
	claims(two, true, "ended without having run")
	two.ids.Spend("a")
	claims(one, false, "may have run")
	now += idLifetime / 2
	claims(two, false, "may have run here")
	two.ids.Unspend("a")
	claims(one, true, "has not run after all")
	one.ids.Spend("a")
	now += idLifetime + time.Second
	claims(two, true, "may have run long ago")
	one.ids.Release("a") // not its own any more
	one.ids.Unspend("a")
	claims(one, false, "open at the other process again")
}

// TestIDsOfProcessAhead guards against an ID that two processes use at once because the clock reading of
// one is slightly behind that with which the other wrote its entry.
func TestIDsOfProcessAhead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	now := time.Hour
	ahead := openIDs(t, path, func() time.Duration { return now + slotTimeUnit })
	behind := openIDs(t, path, func() time.Duration { return now })
	ahead.ids.Claim("open", true)
	ahead.ids.Claim("spent", true)
	ahead.ids.Spend("spent")
	for _, id := range []string{"open", "spent"} {
		if behind.ids.Claim(id, true) {
			t.Errorf("%s: an ID in use was claimed", id)
		}
	}
}

// TestIDsOfDeadProcess guards against IDs that a process which has died blocks for ever, and against
// those that run twice because it has died.
func TestIDsOfDeadProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	now := time.Hour
	clock := func() time.Duration { return now }
	one, two := openIDs(t, path, clock), openIDs(t, path, clock)
	one.ids.Claim("safe", false)
	one.ids.Claim("unsafe", true)
	now += 2 * idLifetime // open for long
	one.exit()
	if !two.ids.Claim("safe", false) {
		t.Error("the ID of a request that is safe to repeat is blocked by a process that has died")
	}
	if two.ids.Claim("unsafe", true) {
		t.Error("an ID whose request may have run was used again")
	}
	now += idLifetime + time.Second
	if !two.ids.Claim("unsafe", true) {
		t.Error("an ID is blocked by a process that has died long ago")
	}
}

// idsOfOneBucket returns n IDs that have the same bucket.
func idsOfOneBucket(t *RequestIDs, n int) (all []string) {
	place := func(id string) (first *uint64) {
		t.access(id, func(b bucket, _ uint64) { first = &b[0] })
		return first
	}
	want := place("0")
	for i := 0; len(all) < n; i++ {
		if id := fmt.Sprint(i); place(id) == want {
			all = append(all, id)
		}
	}
	return all
}

// TestConcurrentClaims checks that of many claims of one ID, by processes that also change other
// entries of its bucket, no two succeed before the ID is released.
func TestConcurrentClaims(t *testing.T) {
	const (
		processes = 4
		ids       = idsPerBucket - processes
		rounds    = 20_000
	)
	path := filepath.Join(t.TempDir(), "shared")
	names := idsOfOneBucket(openIDs(t, path, nil).ids, ids)
	var holders [ids]atomic.Int32
	var claimed atomic.Int32
	var all sync.WaitGroup
	for n := range processes {
		p := openIDs(t, path, nil)
		random := rand.New(rand.NewPCG(uint64(n), 1))
		all.Go(func() {
			for range rounds {
				i := random.IntN(ids)
				id := names[i]
				if !p.ids.Claim(id, true) {
					continue
				}
				claimed.Add(1)
				if holders[i].Add(1) > 1 {
					t.Errorf("%s is claimed twice", id)
				}
				holders[i].Add(-1)
				p.ids.Release(id)
			}
		})
	}
	all.Wait()
	if claimed.Load() < processes*rounds/2 {
		t.Errorf("%d of %d claims succeeded", claimed.Load(), processes*rounds)
	}
}

// TestFullTable checks that more IDs than the table holds are still served, and that of those which may
// have run the newest are remembered.
func TestFullTable(t *testing.T) {
	now := time.Hour
	p := openIDs(t, filepath.Join(t.TempDir(), "shared"), func() time.Duration { return now })
	const n = 2 * idsBuckets * idsPerBucket
	for i := range n {
		now += idLifetime / 2 / n
		id := fmt.Sprint(i)
		if !p.ids.Claim(id, true) {
			t.Fatalf("new ID %d was rejected", i)
		}
		p.ids.Spend(id)
	}
	forgotten := 0
	for i := n - idsBuckets; i < n; i++ {
		if p.ids.Claim(fmt.Sprint(i), true) {
			forgotten++
		}
	}
	if forgotten > idsBuckets/100 {
		t.Errorf("%d of the last %d IDs are forgotten", forgotten, idsBuckets)
	}
}

// TestTruncatedTable guards against a process that ends because the file of the table was truncated.
func TestTruncatedTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shared")
	p := openIDs(t, path, nil)
	if err := os.Truncate(filepath.Join(path, idsFile), 0); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if !p.ids.Claim("a", true) {
			t.Error("an ID is rejected without a table")
		}
		p.ids.Spend("a")
	}
	if n := p.lost.Load(); n != 1 {
		t.Errorf("the loss was reported %d times", n)
	}
	if q := openIDs(t, path, nil); !q.ids.Claim("a", true) || q.lost.Load() != 0 {
		t.Error("a later process has no table")
	}
}

// TestOwnerNumbers checks that no two live processes have the same owner number.
func TestOwnerNumbers(t *testing.T) {
	const processes = 100
	path := filepath.Join(t.TempDir(), "shared")
	seen := map[uint64]bool{}
	for range processes {
		d, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		n := ownerNumber(d.name)
		if seen[n] || n == 0 || n > lowBits(slotOwnerBits) {
			t.Errorf("owner number %d is taken or out of range", n)
		}
		seen[n] = true
	}
}

// BenchmarkClaim measures a claim and the end of its request, in a table that is full.
func BenchmarkClaim(b *testing.B) {
	d, err := Open(filepath.Join(b.TempDir(), "shared"))
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	ids, err := d.OpenRequestIDs(idLifetime, func(error) {})
	if err != nil {
		b.Fatal(err)
	}
	defer ids.Close()
	names := make([]string, 2*idsBuckets*idsPerBucket)
	for i := range names {
		names[i] = fmt.Sprintf("%016x", i)
		ids.Claim(names[i], true)
		ids.Spend(names[i])
	}
	i := 0
	for b.Loop() {
		ids.Claim(names[i%len(names)], true)
		ids.Spend(names[i%len(names)])
		i++
	}
}
