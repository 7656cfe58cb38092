package members

import (
	"maps"
	"slices"
	"time"
)

// hintAge is how long a hint is passed on. The same may be told again after it.
const hintAge = 30 * time.Second

// serverHint is what a datagram says of a server.
type serverHint struct {
	server string
	age    time.Duration
}

type hint struct {
	born time.Duration
	left int
}

// Hint passes on that a server drains or is gone, as this process's own list says. Whoever hears of it may be more careful with that
// server for a while, and no more: it is one process's word.
func (n *Node) Hint(now time.Duration, server string) {
	n.advance(now)
	n.learn(serverHint{server: server})
}

// learn takes a hint over, and reports whether it is new.
func (n *Node) learn(h serverHint) bool {
	if h.server == "" || len(h.server) > MaxServerIDLen || h.age >= hintAge || n.hintsOf[h.server] != nil {
		return false
	}
	if len(n.hintsOf) >= MaxHints {
		n.stats.Refused++
		return false
	}
	n.hintsOf[h.server] = &hint{born: n.now - h.age, left: n.share()}
	return true
}

// hinted takes the hints of a member, in an answer of its own.
func (n *Node) hinted(m *member, msg *message) {
	if m == nil || !m.there() {
		return
	}
	for _, h := range msg.servers {
		if n.learn(h) {
			n.events = append(n.events, Event{Kind: Hinted, Member: m.told(), Server: h.server})
		}
	}
}

// passHints adds hints to a datagram, before anything else: they are the most urgent news.
func (n *Node) passHints(w *writer) {
	if len(n.hintsOf) == 0 {
		return
	}
	for _, server := range slices.Sorted(maps.Keys(n.hintsOf)) {
		h := n.hintsOf[server]
		if n.now-h.born >= hintAge {
			delete(n.hintsOf, server)
			continue
		}
		if h.left > 0 && w.add(hintItem(server, n.now-h.born)) {
			h.left--
		}
	}
}
