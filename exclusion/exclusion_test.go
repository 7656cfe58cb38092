package exclusion

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"quillfront/policy"
)

// list is a server list that a test sets by hand.
type list map[policy.ServerID]Entry

// lookup returns the list entry of a server.
func (l list) lookup(id policy.ServerID) (Entry, bool) { e, ok := l[id]; return e, ok }

// set adds or replaces the entry of a server.
func (l list) set(id policy.ServerID, state policy.ServerState, bornMs int64) {
	l[id] = Entry{ID: id, State: state, StartedMs: bornMs}
}

// TestExcludeAndInclude: a server is excluded twice, restarted, and included once, while the list
// lags.
func TestExcludeAndInclude(t *testing.T) {
	l, a := list{}, State{}
	l.set("a", policy.Ready, 5)
	checkEffective := func(want Entry) {
		t.Helper()
		if got := a.Effective(l["a"]); got != want {
			t.Errorf("effective entry %+v, want %+v", got, want)
		}
	}
	checkEffective(Entry{"a", policy.Ready, 5})
	for range 2 {
		if err := a.Exclude("a", l.lookup, 1000); err != nil {
			t.Fatal(err)
		}
	}
	checkEffective(Entry{"a", policy.Draining, 5})
	l.set("a", policy.Draining, 5)
	checkEffective(Entry{"a", policy.Draining, 5})
	l.set("a", policy.Ready, 2000) // restarted, and still excluded
	checkEffective(Entry{"a", policy.Draining, 2000})
	l.set("a", policy.Ready, 5) // a list that lags
	if err := a.Include("a", l.lookup, 3000); err != nil {
		t.Fatal(err)
	}
	checkEffective(Entry{"a", policy.Ready, 3000}) // cold from now on
	l.set("a", policy.Ready, 2000)
	checkEffective(Entry{"a", policy.Ready, 2000}) // the start that the list reports
	if err := a.Include("a", l.lookup, 3000); err != nil {
		t.Errorf("Include of a server that is not excluded: %v", err)
	}
	checkEffective(Entry{"a", policy.Ready, 2000})
}

// TestUnlistedServer: a server that leaves the list while it is excluded is still excluded when it
// is listed again, and can be included before that.
func TestUnlistedServer(t *testing.T) {
	l, a := list{}, State{}
	for _, f := range []func(policy.ServerID, func(policy.ServerID) (Entry, bool), int64) error{a.Exclude, a.Include} {
		if err := f("a", l.lookup, 1); !errors.Is(err, ErrUnknown) {
			t.Errorf("unknown ID: %v", err)
		}
	}
	l.set("a", policy.Ready, 5)
	if err := a.Exclude("a", l.lookup, 1); err != nil {
		t.Fatal(err)
	}
	delete(l, "a")
	if err := a.Exclude("a", l.lookup, 2); err != nil {
		t.Errorf("Exclude of an unlisted server that is excluded already: %v", err)
	}
	if e := a.Effective(Entry{"a", policy.Ready, 9}); e.State != policy.Draining {
		t.Errorf("listed again while excluded: %+v", e)
	}
	if err := a.Include("a", l.lookup, 3); err != nil {
		t.Error(err)
	}
	if e := a.Effective(Entry{"a", policy.Ready, 9}); e != (Entry{"a", policy.Ready, 9}) {
		t.Errorf("included again: %+v", e)
	}
}

// TestLimits: at most MaxExcluded servers are excluded, unlisted ones are dropped to make room, and
// Restored entries expire.
func TestLimits(t *testing.T) {
	l, a := list{}, State{}
	id := func(i int) policy.ServerID { return policy.ServerID(fmt.Sprintf("s%04d", i)) }
	for i := range MaxExcluded + 1 {
		l.set(id(i), policy.Ready, 0)
	}
	for i := range MaxExcluded {
		if err := a.Exclude(id(i), l.lookup, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Exclude(id(MaxExcluded), l.lookup, 0); !errors.Is(err, ErrTooMany) {
		t.Errorf("one more than MaxExcluded: %v", err)
	}
	delete(l, id(7))
	if err := a.Exclude(id(MaxExcluded), l.lookup, 0); err != nil || len(a.Excluded) != MaxExcluded {
		t.Errorf("error %v, %d servers excluded", err, len(a.Excluded))
	}
	for i := range MaxExcluded + 1 {
		a.Include(id(i), l.lookup, int64(i)*1000)
	}
	if len(a.Restored) > restoredTTLMs/1000+1 {
		t.Errorf("%d Restored entries are kept", len(a.Restored))
	}
}

// TestJSONAndClone: decoding the JSON of a State yields an equal State, and a clone shares nothing
// with it.
func TestJSONAndClone(t *testing.T) {
	l, a := list{}, State{}
	l.set("a", policy.Ready, 5)
	l.set("b", policy.Ready, 6)
	a.Exclude("a", l.lookup, 1)
	a.Exclude("b", l.lookup, 2)
	a.Include("b", l.lookup, 3)
	text, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	var b State
	if err := json.Unmarshal(text, &b); err != nil || !a.Equal(&b) {
		t.Errorf("%s decodes to %+v, %v", text, b, err)
	}
	c := a.Clone()
	c.Include("a", l.lookup, 4)
	if a.Equal(&c) || !a.Equal(&b) {
		t.Error("a change of the clone changed the original")
	}
}

// TestAvoided: servers are avoided for the time that they ask for, at most half of them at once,
// and unlisted ones are dropped.
func TestAvoided(t *testing.T) {
	var a Avoided
	none := func(policy.ServerID) bool { return false }
	if a.Add("a", 0, 100, 1) || a.Has("a") {
		t.Error("the only server is avoided")
	}
	if !a.Add("a", 0, 100, 4) || !a.Add("b", 10, 500, 4) || a.Add("c", 20, 100, 4) || !a.Add("a", 30, 20, 4) {
		t.Error("want exactly two of four servers avoided")
	}
	if expired, next := a.Expire(60, none); len(expired) != 0 || next != 40 { // the second time of a would end earlier, and is ignored
		t.Errorf("expired %v, next in %d ms", expired, next)
	}
	if expired, next := a.Expire(100, none); len(expired) != 1 || expired[0] != "a" || next != 410 || a.Has("a") || !a.Has("b") {
		t.Errorf("expired %v, next in %d ms", expired, next)
	}
	if expired, next := a.Expire(101, func(id policy.ServerID) bool { return id == "b" }); len(expired) != 1 || next != 0 || a.Has("b") {
		t.Errorf("expired %v, next in %d ms", expired, next)
	}
}
