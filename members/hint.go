package members

import (
	"maps"
	"slices"
	"time"
)

// hintLifetime is how long a hint is sent on. After it the same hint may be issued again.
const hintLifetime = 30 * time.Second

// serverHint is a datagram's hint about a server.
type serverHint struct {
	server string
	age    time.Duration
}

// hint is a hint that this node gossips.
type hint struct {
	created   time.Duration
	remaining int
}

// Hint tells the other members that a server drains or is gone according to this process's own
// server list. A receiver may treat the server more carefully for a while, but no more than that,
// as it is one process's word.
func (n *Node) Hint(now time.Duration, server string) {
	n.advance(now)
	n.addHint(serverHint{server: server})
}

// addHint stores a hint and reports whether it is new.
func (n *Node) addHint(h serverHint) bool {
	if h.server == "" || len(h.server) > MaxServerIDLen || h.age >= hintLifetime || n.hints[h.server] != nil {
		return false
	}
	if len(n.hints) >= MaxHints {
		n.stats.Refused++
		return false
	}
	n.hints[h.server] = &hint{created: n.now - h.age, remaining: n.gossipLimit()}
	return true
}

// handleHints stores the hints in an ack from a member.
func (n *Node) handleHints(m *member, msg *message) {
	if m == nil || !m.present() {
		return
	}
	for _, h := range msg.hints {
		if n.addHint(h) {
			n.events = append(n.events, Event{Kind: Hinted, Member: m.snapshot(), Server: h.server})
		}
	}
}

// appendHints adds hints to a datagram before any other update, as they are the most urgent.
func (n *Node) appendHints(w *writer) {
	if len(n.hints) == 0 {
		return
	}
	for _, server := range slices.Sorted(maps.Keys(n.hints)) {
		h := n.hints[server]
		if n.now-h.created >= hintLifetime {
			delete(n.hints, server)
			continue
		}
		if h.remaining > 0 && w.add(serverHintItem(server, n.now-h.created)) {
			h.remaining--
		}
	}
}
