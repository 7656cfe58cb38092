package httpfront

import (
	"time"

	"quillfront/internal/shutdown"
)

const (
	// sweepInterval is the interval at which a draining server looks for idle connections.
	// newConnGrace is how long a new connection may then be idle: it was opened to be used at
	// once. usedConnGrace is the same for a used connection: a client that sends requests
	// continuously is about to send the next one and learns from its response that the connection
	// ends, whereas a request that crosses the close is reset unread.
	sweepInterval = 20 * time.Millisecond
	newConnGrace  = time.Second
	usedConnGrace = 100 * time.Millisecond
	// finalReadTime limits how long data that has arrived by the exit may take to be read and
	// refused.
	finalReadTime = 20 * time.Millisecond
)

// Drain begins the shutdown of the server. If it has already begun, the earlier times of both
// schedules apply. Every response closes its connection, and connections that wait for no
// response are closed. A client whose request crosses the close repeats it on a new connection,
// which is still accepted. The schedule determines when forwarding stops, when every request read
// has its response, and when all connections are closed. Rejoin does not undo Drain.
func (s *Server) Drain(schedule shutdown.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequencer.Begin(schedule)
	s.schedule = s.sequencer.Schedule()
	s.sweep()
}

// Evacuate closes connections as Drain does, but without a schedule, and makes readiness probes
// fail until Rejoin is called. New connections are still served, because whoever routes clients
// here notices the change only after a while.
func (s *Server) Evacuate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = true
	s.sweep()
}

// Rejoin undoes Evacuate.
func (s *Server) Rejoin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = false
}

// draining reports whether connections are to be closed after their responses. s.mu must be held.
func (s *Server) draining() bool { return !s.schedule.IsZero() || s.evacuated }

// sweep closes idle connections now, and again at each sweepInterval while the server drains. A
// connection is closed only after a check that no data has arrived, never because of its phase
// alone: a response written just before did not announce the close, and the next request may have
// arrived. s.mu must be held.
func (s *Server) sweep() {
	s.closeIdle(usedConnGrace, newConnGrace)
	if s.sweeping {
		return
	}
	s.sweeping = true
	time.AfterFunc(sweepInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sweeping = false
		if s.draining() && !s.closed {
			s.sweep()
		}
	})
}

// closeIdle closes used connections that have been idle for at least used, and new ones that have
// been idle for at least unused, if no data has arrived on them. s.mu must be held.
func (s *Server) closeIdle(used, unused time.Duration) {
	for c := range s.conns {
		idle := time.Since(c.since)
		if (c.phase == phaseIdle && idle >= used || c.phase == phaseNew && idle >= unused) && !c.received.Load() && c.peek.Empty() {
			s.closeConn(c)
		}
	}
}

// stopForwarding stops sending for all open requests; admit rejects further ones.
func (s *Server) stopForwarding() {
	for _, open := range s.openRequests() {
		open.engine.StopSending(open.request)
	}
}

// answerAll ends all open requests and refuses those that have been read in part. Later ones are
// refused as soon as their first byte arrives: see serve.
func (s *Server) answerAll() {
	s.endAnswerCtx()
	for _, open := range s.openRequests() {
		open.engine.GiveUp(open.request)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.phase == phaseReading {
			c.SetReadDeadline(time.Now())
		}
	}
}

// openRequests returns all open requests.
func (s *Server) openRequests() []openRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []openRequest
	for c := range s.conns {
		if c.current.request != nil {
			all = append(all, c.current)
		}
	}
	return all
}

// Exited returns a channel that is closed at the exit time of the schedule, or when CloseAll is
// called.
func (s *Server) Exited() <-chan struct{} { return s.sequencer.Exited() }

// Wait waits until Serve and all connections have ended. At the exit time it closes the remaining
// connections, and reports false if some still had requests.
func (s *Server) Wait() bool {
	select {
	case <-s.serveDone:
	case <-s.Exited():
		s.endAccepting()
	}
	ended := make(chan struct{})
	go func() {
		s.connWG.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-s.Exited():
	}
	s.mu.Lock()
	s.closeIdle(0, 0)
	s.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(finalReadTime):
	}
	s.CloseAll()
	return false
}

// endAccepting stops accepting. Once it has returned, no further connection is served.
func (s *Server) endAccepting() {
	s.stopAccepting()
	s.mu.Lock() // startConn holds it while it adds a connection
	defer s.mu.Unlock()
}

// CloseAll closes all connections permanently.
func (s *Server) CloseAll() {
	s.endAccepting()
	s.endAnswerCtx()
	s.sequencer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		s.closeConn(c)
	}
}

// Close closes all connections permanently and waits for their goroutines.
func (s *Server) Close() {
	s.CloseAll()
	s.connWG.Wait()
}
