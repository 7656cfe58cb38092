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

// TestValidateList verifies how incomplete, contradictory and invalid entries combine with the
// previous list.
func TestValidateList(t *testing.T) {
	previous := Server{ID: "a", Addr: "a:1", Zone: "z", StartedMs: 5}
	previousList := map[policy.ServerID]Server{"a": previous}
	ready := func(id policy.ServerID, addr string) Server { return Server{ID: id, Addr: addr} }
	draining := func(id policy.ServerID, addr string) Server {
		return Server{ID: id, Addr: addr, State: policy.Draining}
	}
	gone := Server{ID: "a", State: policy.Gone}
	invalid := []EntryError{{"a", "unread"}}
	for _, tt := range []struct {
		name   string
		l      List
		want   []Server
		faults int
	}{
		{"valid", List{Full: true, Servers: []Server{ready("a", "a:2"), ready("b", "b:1")}}, []Server{ready("a", "a:2"), ready("b", "b:1")}, 0},
		{"invalid entry in a full list: the previous entry stays", List{Full: true, Servers: []Server{ready("b", "b:1")}, EntryErrors: invalid}, []Server{ready("b", "b:1"), previous}, 1},
		{"invalid entry among changes: nothing changes", List{EntryErrors: invalid}, []Server{}, 1},
		{"invalid entries of unknown servers", List{Full: true, EntryErrors: []EntryError{{"c", "unread"}, {"", "no id"}}}, []Server{}, 2},
		{"draining with an invalid address, in a change", List{Servers: []Server{draining("a", "")}, EntryErrors: invalid}, []Server{draining("a", "a:1")}, 1},
		{"draining with an invalid address, in a full list", List{Full: true, Servers: []Server{draining("a", "")}, EntryErrors: invalid}, []Server{draining("a", "a:1")}, 1},
		{"new server without an address", List{Servers: []Server{ready("b", "")}, EntryErrors: []EntryError{{"b", "dial"}}}, []Server{}, 1},
		{"duplicate, ready after draining", List{Servers: []Server{draining("a", "a:1"), ready("a", "a:1")}}, []Server{draining("a", "a:1")}, 1},
		{"duplicate, draining after ready", List{Servers: []Server{ready("a", "a:1"), draining("a", "a:1")}}, []Server{draining("a", "a:1")}, 1},
		{"duplicate, gone first", List{Servers: []Server{gone, ready("a", "a:1")}}, []Server{gone}, 1},
		{"duplicate, with another address", List{Servers: []Server{ready("a", "a:1"), ready("a", "a:2")}}, []Server{ready("a", "a:2")}, 1},
		{"started in the future", List{Servers: []Server{{ID: "a", Addr: "a:1", StartedMs: 1001}}}, []Server{{ID: "a", Addr: "a:1", StartedMs: 1001}}, 1},
	} {
		got, faults := validateList(tt.l, previousList, 1000)
		if !reflect.DeepEqual(got, tt.want) || len(faults) != tt.faults {
			t.Errorf("%s: %+v and faults %v; want %+v and %d", tt.name, got, faults, tt.want, tt.faults)
		}
	}
}

// listRecorder is a module that records the lists it receives.
type listRecorder struct {
	Module
	lists [][]policy.Server
}

func (m *listRecorder) UpdateServers(_ policy.Time, _ policy.ListKind, servers []policy.Server, _ policy.Actions) {
	m.lists = append(m.lists, servers)
}

// TestStartInTheFuture verifies that a start time in the future, from a server whose clock runs
// ahead, is replaced by the time at which the server was first listed, and by the same time in
// every later list. Otherwise the server would be treated as cold for years, or as restarting with
// every list.
func TestStartInTheFuture(t *testing.T) {
	var log bytes.Buffer
	m := &listRecorder{}
	e := New(Options{Module: m, Transport: newFakeTransport(), Log: slog.New(slog.NewTextHandler(&log, nil))})
	defer e.Close()
	start := func(bornMs int64) policy.Time {
		l := List{Seq: 1, Full: true, Servers: []Server{{ID: "a", Addr: "a:1", StartedMs: bornMs}}}
		e.event(func(now policy.Time) { e.updateList(now, policy.ListFull, l) })
		return m.lists[len(m.lists)-1][0].Started
	}
	ahead := time.Now().Add(time.Hour).UnixMilli()
	from := e.Now()
	first := start(ahead)
	if first < from || first > e.Now() {
		t.Errorf("start time %v, want the time of the first list", first)
	}
	time.Sleep(2 * time.Millisecond)
	if again := start(ahead); again != first {
		t.Errorf("the same list yields start times %v and %v", first, again)
	}
	if other := start(ahead + 1); other == first {
		t.Error("a new start yields the same start time as the previous one")
	}
	soon := time.Now().Add(20 * time.Millisecond).UnixMilli()
	first = start(soon)
	for time.Now().UnixMilli() <= soon {
		time.Sleep(time.Millisecond)
	}
	if again := start(soon); again != first {
		t.Errorf("after the reported time has passed, start time %v becomes %v", first, again)
	}
	if start(0); len(e.futureStarts) > 0 {
		t.Errorf("%d future starts are kept that are no longer listed", len(e.futureStarts))
	}
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "server=a") || !strings.Contains(got, "from now") {
		t.Errorf("log %q", got)
	}
}

// TestInvalidEntriesKeepPreviousState verifies that a list with invalid entries neither crashes the
// engine nor removes the previous entries of their servers.
func TestInvalidEntriesKeepPreviousState(t *testing.T) {
	e, _ := startEngine(t, "a", "b")
	e.SetSource(oneListSource{List{Seq: 2, Full: true, Servers: []Server{{ID: "a", State: policy.Draining}, {ID: "c"}}, EntryErrors: []EntryError{{"a", "dial"}, {"b", "health"}, {"c", "dial"}, {"", ""}}}})
	for end := time.Now().Add(testTimeout); e.Snapshot().ListSeq != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the list is not applied")
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
