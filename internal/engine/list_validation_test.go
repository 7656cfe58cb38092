package engine

import (
	"bytes"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

func TestVet(t *testing.T) {
	stood := Server{ID: "a", Addr: "a:1", Zone: "z", StartedMs: 5}
	before := map[policy.ServerID]Server{"a": stood}
	ready := func(id policy.ServerID, addr string) Server { return Server{ID: id, Addr: addr} }
	leaving := func(id policy.ServerID, addr string) Server {
		return Server{ID: id, Addr: addr, State: policy.Draining}
	}
	gone := Server{ID: "a", State: policy.Gone}
	bad := []EntryError{{"a", "unread"}}
	for _, tt := range []struct {
		name   string
		l      List
		want   []Server
		faults int
	}{
		{"sound", List{Full: true, Servers: []Server{ready("a", "a:2"), ready("b", "b:1")}}, []Server{ready("a", "a:2"), ready("b", "b:1")}, 0},
		{"unread, in a whole list: what stood stays", List{Full: true, Servers: []Server{ready("b", "b:1")}, EntryErrors: bad}, []Server{ready("b", "b:1"), stood}, 1},
		{"unread, among changes: nothing changes", List{EntryErrors: bad}, []Server{}, 1},
		{"unread and unknown", List{Full: true, EntryErrors: []EntryError{{"c", "unread"}, {"", "no id"}}}, []Server{}, 2},
		{"it leaves, and its address cannot be read", List{Servers: []Server{leaving("a", "")}, EntryErrors: bad}, []Server{leaving("a", "a:1")}, 1},
		{"the same in a whole list", List{Full: true, Servers: []Server{leaving("a", "")}, EntryErrors: bad}, []Server{leaving("a", "a:1")}, 1},
		{"a new one without an address", List{Servers: []Server{ready("b", "")}, EntryErrors: []EntryError{{"b", "dial"}}}, []Server{}, 1},
		{"twice, ready after leaving", List{Servers: []Server{leaving("a", "a:1"), ready("a", "a:1")}}, []Server{leaving("a", "a:1")}, 1},
		{"twice, leaving after ready", List{Servers: []Server{ready("a", "a:1"), leaving("a", "a:1")}}, []Server{leaving("a", "a:1")}, 1},
		{"twice, gone first", List{Servers: []Server{gone, ready("a", "a:1")}}, []Server{gone}, 1},
		{"twice, moved", List{Servers: []Server{ready("a", "a:1"), ready("a", "a:2")}}, []Server{ready("a", "a:2")}, 1},
		{"begun from now on", List{Servers: []Server{{ID: "a", Addr: "a:1", StartedMs: 1001}}}, []Server{{ID: "a", Addr: "a:1", StartedMs: 1001}}, 1},
	} {
		got, faults := vet(tt.l, before, 1000)
		if !reflect.DeepEqual(got, tt.want) || len(faults) != tt.faults {
			t.Errorf("%s: %+v and faults %v; want %+v and %d", tt.name, got, faults, tt.want, tt.faults)
		}
	}
}

// told collects what a module is told of the list.
type told struct {
	Module
	lists [][]policy.Server
}

func (m *told) UpdateServers(_ policy.Time, _ policy.ListKind, servers []policy.Server, _ policy.Actions) {
	m.lists = append(m.lists, servers)
}

// TestBornInTheFuture: a server whose clock runs ahead counts as begun when it was first told of, the same at each list, so that
// it is neither held for cold for years nor taken for one that restarts again and again.
func TestBornInTheFuture(t *testing.T) {
	var log bytes.Buffer
	m := &told{}
	e := New(Options{Module: m, Transport: newFake(), Log: slog.New(slog.NewTextHandler(&log, nil))})
	defer e.Close()
	say := func(bornMs int64) policy.Time {
		l := List{Seq: 1, Full: true, Servers: []Server{{ID: "a", Addr: "a:1", StartedMs: bornMs}}}
		e.event(func(now policy.Time) { e.members(now, policy.ListFull, l) })
		return m.lists[len(m.lists)-1][0].Started
	}
	ahead := time.Now().Add(time.Hour).UnixMilli()
	from := e.Now()
	first := say(ahead)
	if first < from || first > e.Now() {
		t.Errorf("it counts as begun at %v, not when it was told", first)
	}
	time.Sleep(2 * time.Millisecond)
	if again := say(ahead); again != first {
		t.Errorf("the same list gives %v and then %v", first, again)
	}
	if other := say(ahead + 1); other == first {
		t.Error("a new start counts as the one before")
	}
	soon := time.Now().Add(20 * time.Millisecond).UnixMilli()
	first = say(soon)
	for time.Now().UnixMilli() <= soon {
		time.Sleep(time.Millisecond)
	}
	if again := say(soon); again != first {
		t.Errorf("once its time has come, %v is %v", first, again)
	}
	if say(0); len(e.early) > 0 {
		t.Errorf("%d starts are kept that nobody tells any more", len(e.early))
	}
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "server=a") || !strings.Contains(got, "from now") {
		t.Errorf("the log has %q", got)
	}
}

// TestListKeepsItsHead: no list crashes the engine or loses what stood, however spoilt.
func TestListKeepsItsHead(t *testing.T) {
	e, _ := start(t, "a", "b")
	e.SetSource(once{List{Seq: 2, Full: true, Servers: []Server{{ID: "a", State: policy.Draining}, {ID: "c"}}, EntryErrors: []EntryError{{"a", "dial"}, {"b", "health"}, {"c", "dial"}, {"", ""}}}})
	for end := time.Now().Add(patience); e.Snapshot().ListSeq != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is not taken")
		}
	}
	got := map[policy.ServerID]policy.ServerState{}
	for _, s := range e.Snapshot().Servers {
		l, _ := e.ListEntry(s.ID)
		got[s.ID] = l.State
	}
	if !reflect.DeepEqual(got, map[policy.ServerID]policy.ServerState{"a": policy.Draining, "b": policy.Ready}) {
		t.Errorf("servers %v", got)
	}
}
