package exclusion

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"quillfront/policy"
)

// list stands in for what discovery says.
type list map[policy.ServerID]Entry

func (l list) listed(id policy.ServerID) (Entry, bool) { e, ok := l[id]; return e, ok }

func (l list) set(id policy.ServerID, state policy.ServerState, bornMs int64) {
	l[id] = Entry{ID: id, State: state, StartedMs: bornMs}
}

// TestOutAndBack follows a server that is taken out twice, restarted, and put back once, while the list runs behind.
func TestOutAndBack(t *testing.T) {
	l, a := list{}, State{}
	l.set("a", policy.Ready, 5)
	count := func(want Entry) {
		t.Helper()
		if got := a.Effective(l["a"]); got != want {
			t.Errorf("it counts as %+v, want %+v", got, want)
		}
	}
	count(Entry{"a", policy.Ready, 5})
	for range 2 {
		if err := a.Exclude("a", l.listed, 1000); err != nil {
			t.Fatal(err)
		}
	}
	count(Entry{"a", policy.Draining, 5})
	l.set("a", policy.Draining, 5)
	count(Entry{"a", policy.Draining, 5})
	l.set("a", policy.Ready, 2000) // it has started anew, and is out still
	count(Entry{"a", policy.Draining, 2000})
	l.set("a", policy.Ready, 5) // a list that runs behind
	if err := a.Include("a", l.listed, 3000); err != nil {
		t.Fatal(err)
	}
	count(Entry{"a", policy.Ready, 3000}) // cold from now on
	l.set("a", policy.Ready, 2000)
	count(Entry{"a", policy.Ready, 2000}) // as the list has it
	if err := a.Include("a", l.listed, 3000); err != nil {
		t.Errorf("a server that is in: %v", err)
	}
	count(Entry{"a", policy.Ready, 2000})
}

// TestUnlisted: a server that leaves the list while it is out is out when it comes back, and can be put back before.
func TestUnlisted(t *testing.T) {
	l, a := list{}, State{}
	for _, f := range []func(policy.ServerID, func(policy.ServerID) (Entry, bool), int64) error{a.Exclude, a.Include} {
		if err := f("a", l.listed, 1); !errors.Is(err, ErrUnknown) {
			t.Errorf("an unknown id: %v", err)
		}
	}
	l.set("a", policy.Ready, 5)
	if err := a.Exclude("a", l.listed, 1); err != nil {
		t.Fatal(err)
	}
	delete(l, "a")
	if err := a.Exclude("a", l.listed, 2); err != nil {
		t.Errorf("once more: %v", err)
	}
	if e := a.Effective(Entry{"a", policy.Ready, 9}); e.State != policy.Draining {
		t.Errorf("listed again: %+v", e)
	}
	if err := a.Include("a", l.listed, 3); err != nil {
		t.Error(err)
	}
	if e := a.Effective(Entry{"a", policy.Ready, 9}); e != (Entry{"a", policy.Ready, 9}) {
		t.Errorf("back: %+v", e)
	}
}

// TestBounds: no more than MostOut are out, those that are gone give way, and those put back are forgotten in time.
func TestBounds(t *testing.T) {
	l, a := list{}, State{}
	id := func(i int) policy.ServerID { return policy.ServerID(fmt.Sprintf("s%04d", i)) }
	for i := range MaxExcluded + 1 {
		l.set(id(i), policy.Ready, 0)
	}
	for i := range MaxExcluded {
		if err := a.Exclude(id(i), l.listed, 0); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Exclude(id(MaxExcluded), l.listed, 0); !errors.Is(err, ErrTooMany) {
		t.Errorf("one too many: %v", err)
	}
	delete(l, id(7))
	if err := a.Exclude(id(MaxExcluded), l.listed, 0); err != nil || len(a.Excluded) != MaxExcluded {
		t.Errorf("%v, %d out", err, len(a.Excluded))
	}
	for i := range MaxExcluded + 1 {
		a.Include(id(i), l.listed, int64(i)*1000)
	}
	if len(a.Restored) > restoredTTLMs/1000+1 {
		t.Errorf("%d that were put back are remembered", len(a.Restored))
	}
}

// TestShared: what another process reads says the same, and a copy shares nothing.
func TestShared(t *testing.T) {
	l, a := list{}, State{}
	l.set("a", policy.Ready, 5)
	l.set("b", policy.Ready, 6)
	a.Exclude("a", l.listed, 1)
	a.Exclude("b", l.listed, 2)
	a.Include("b", l.listed, 3)
	text, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	var b State
	if err := json.Unmarshal(text, &b); err != nil || !a.Equal(&b) {
		t.Errorf("%s is read as %+v, %v", text, b, err)
	}
	c := a.Clone()
	c.Include("a", l.listed, 4)
	if a.Equal(&c) || !a.Equal(&b) {
		t.Error("a copy is not one")
	}
}

// TestAvoided: servers are left alone for as long as they ask, half of all at most, and those that go are forgotten.
func TestAvoided(t *testing.T) {
	var a Avoided
	none := func(policy.ServerID) bool { return false }
	if a.Add("a", 0, 100, 1) || a.Has("a") {
		t.Error("the only server is left alone")
	}
	if !a.Add("a", 0, 100, 4) || !a.Add("b", 10, 500, 4) || a.Add("c", 20, 100, 4) || !a.Add("a", 30, 20, 4) {
		t.Error("two of four may be left alone")
	}
	if back, next := a.Expire(60, none); len(back) != 0 || next != 40 { // the earlier end of the second asking does not count
		t.Errorf("%v, %d", back, next)
	}
	if back, next := a.Expire(100, none); len(back) != 1 || back[0] != "a" || next != 410 || a.Has("a") || !a.Has("b") {
		t.Errorf("%v, %d", back, next)
	}
	if back, next := a.Expire(101, func(id policy.ServerID) bool { return id == "b" }); len(back) != 1 || next != 0 || a.Has("b") {
		t.Errorf("%v, %d", back, next)
	}
}
