package httpfront

import (
	"time"

	"quillfront/internal/shutdown"
)

const (
	// sweepEvery is how often a server that drains looks for quiet connections, and freshTime how long a new one may be
	// quiet then: it was opened to be used at once. usedTime is the same of one that was used: a client that asks again
	// and again is about to, and learns with its next answer that the connection ends, while a request that crosses the
	// close is turned back unheard.
	sweepEvery = 20 * time.Millisecond
	freshTime  = time.Second
	usedTime   = 100 * time.Millisecond
	// lastReads is how long what has come by the exit may take to be read and refused.
	lastReads = 20 * time.Millisecond
)

// Drain begins the end of the server, or brings it forward. Every answer is the last one of its connection, and
// connections on which none is owed are closed: a request that crosses this comes again on a new connection, which is
// still accepted. From the points of the schedule on nothing is forwarded any more, all that was read has its answer,
// and all is closed. It is not undone by Rejoin.
func (s *Server) Drain(schedule shutdown.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequencer.Begin(schedule)
	s.schedule = s.sequencer.Schedule()
	s.sweep()
}

// Evacuate does what Drain does, but at no time, and has the sidecar say that it is not ready, until Rejoin. New
// connections are still served: whoever sends clients here learns of it only after a while.
func (s *Server) Evacuate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.sweep()
}

// Rejoin ends what Evacuate began.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
}

// draining reports whether connections are not kept. Called with the lock held.
func (s *Server) draining() bool { return !s.schedule.IsZero() || s.away }

// sweep closes quiet connections now and as they become quiet, as long as the server drains. Each is closed after a look
// that nothing has come, never because of its phase alone: an answer that was written just before did not say that its
// connection ends, and the next request may be there. Called with the lock held.
func (s *Server) sweep() {
	s.closeQuiet(usedTime, freshTime)
	if s.sweeping {
		return
	}
	s.sweeping = true
	time.AfterFunc(sweepEvery, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sweeping = false
		if s.draining() && !s.over {
			s.sweep()
		}
	})
}

// closeQuiet closes connections on which nothing has come for a time, if they were used before or if they are fresh.
// Called with the lock held.
func (s *Server) closeQuiet(used, unused time.Duration) {
	for c := range s.conns {
		quiet := time.Since(c.since)
		if (c.phase == idle && quiet >= used || c.phase == fresh && quiet >= unused) && !c.heard.Load() && c.peek.Empty() {
			s.drop(c)
		}
	}
}

// stopForwarding has nothing more sent for the requests that are open; mayServe lets no others in.
func (s *Server) stopForwarding() {
	for _, open := range s.openRequests() {
		open.engine.StopSending(open.request)
	}
}

// answerAll has all requests answered that are open, and all refused that have come in part. What comes later is refused
// as soon as it is heard: see serve.
func (s *Server) answerAll() {
	s.answersDue()
	for _, open := range s.openRequests() {
		open.engine.GiveUp(open.request)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.phase == reading {
			c.SetReadDeadline(time.Now())
		}
	}
}

// openRequests returns the requests that are open.
func (s *Server) openRequests() []openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []openRequest
	for c := range s.conns {
		if c.open.request != nil {
			all = append(all, c.open)
		}
	}
	return all
}

// Exited is closed once the schedule's exit has come, or all connections were closed for good.
func (s *Server) Exited() <-chan struct{} { return s.sequencer.Exited() }

// Wait waits until Serve and all connections have ended. At the exit it closes those that are left, and reports false if
// there were requests among them.
func (s *Server) Wait() bool {
	select {
	case <-s.served:
	case <-s.Exited():
		s.endAccepting()
	}
	ended := make(chan struct{})
	go func() {
		s.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-s.Exited():
	}
	s.mu.Lock()
	s.closeQuiet(0, 0)
	s.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(lastReads):
	}
	s.CloseAll()
	return false
}

// endAccepting has no further connection taken: none is once it has returned.
func (s *Server) endAccepting() {
	s.stopAccepting()
	s.mu.Lock() // take holds it while it adds one
	defer s.mu.Unlock()
}

// CloseAll closes all connections, for good.
func (s *Server) CloseAll() {
	s.endAccepting()
	s.answersDue()
	s.sequencer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for c := range s.conns {
		s.drop(c)
	}
}

// Close closes all connections, for good, and waits until nothing serves them any more.
func (s *Server) Close() {
	s.CloseAll()
	s.open.Wait()
}
