package linegroup

import (
	"net"
	"strconv"
	"time"
)

// Server is one server of a group; the group's mutex guards the fields below
// slots.
type Server struct {
	group   *Group
	ID      string
	Domain  string
	Address string
	Started int64
	slots   chan struct{}

	listener net.Listener
	conns    map[*conn]struct{}
	log      []entry
	applied  int // entries of the log
	down     bool
	// unresponsive takes connections and bytes and answers nothing.
	unresponsive bool
	// paused and deaf receive nothing; cut sends nothing to replicas.
	paused, receiveBlocked, sendBlocked bool
	// actingFormerPrimary tells that the server was replaced as the primary and goes on as one.
	actingFormerPrimary bool
	// ignoreNewConnections leaves connections that are opened without an answer.
	ignoreNewConnections bool
	// term is the newest that the server knows of, heldTerm that of its pause.
	term, pauseTerm uint64
	lag             time.Duration
	// loseAnswers is how many statements run without an answer from now on.
	loseAnswers int
	draining    bool
}

func (s *Server) accept(l net.Listener) {
	for {
		socket, err := l.Accept()
		if err != nil {
			return
		}
		c := &conn{server: s, net: socket, values: map[string]string{}, prepared: map[string]string{}}
		s.group.mu.Lock()
		overLimit := len(s.conns) >= s.group.options.MaxConnections
		if s.down {
			s.group.mu.Unlock()
			socket.Close()
			continue
		}
		c.ignored = s.ignoreNewConnections
		s.conns[c] = struct{}{}
		s.group.mu.Unlock()
		go c.serve(overLimit)
	}
}

// Crash ends the server; its log stays.
func (s *Server) Crash() {
	s.group.mu.Lock()
	s.down = true
	s.listener.Close()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.group.mu.Unlock()
	for _, c := range conns {
		c.net.Close()
	}
}

// Restart brings a crashed server back at its address with its log, as a replica
// unless it still leads.
func (s *Server) Restart() error {
	l, err := net.Listen("tcp4", s.Address)
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.listener, s.down, s.unresponsive, s.paused, s.pauseTerm, s.draining, s.actingFormerPrimary = l, false, false, false, 0, false, false
	s.Started++
	s.group.replicateTo(s)
	go s.accept(l)
	return nil
}

// withLock changes a fault under the group's mutex.
func (s *Server) withLock(f func()) { s.group.withLock(f) }

// SetUnresponsive makes the server take everything and answer nothing, or ends that. It goes
// on sending to its group and receiving from it.
func (s *Server) SetUnresponsive(on bool) { s.withLock(func() { s.unresponsive = on }) }

// SetReceiveBlocked makes a replica receive nothing, or ends that.
func (s *Server) SetReceiveBlocked(on bool) {
	s.withLock(func() {
		s.receiveBlocked = on
		s.group.replicateTo(s)
	})
}

// SetSendBlocked keeps the server from sending its log to others, or ends that.
func (s *Server) SetSendBlocked(on bool) {
	s.withLock(func() {
		s.sendBlocked = on
		for _, r := range s.group.servers {
			s.group.replicateTo(r)
		}
		s.group.scheduleDemotion(s)
	})
}

// SetIgnoreNewConnections leaves connections that are opened from now on without an answer, or ends
// that; open ones go on.
func (s *Server) SetIgnoreNewConnections(on bool) {
	s.withLock(func() {
		s.ignoreNewConnections = on
		for c := range s.conns {
			c.ignored = c.ignored && on
		}
	})
}

// SetLag sets how much later the server applies what it has received.
func (s *Server) SetLag(d time.Duration) { s.withLock(func() { s.lag = d }) }

// LoseAnswers runs the next n statements without an answer.
func (s *Server) LoseAnswers(n int) { s.withLock(func() { s.loseAnswers = n }) }

// StartDraining announces that the server will stop.
func (s *Server) StartDraining() { s.withLock(func() { s.draining = true }) }

// State returns whether the server runs, leads and leaves.
func (s *Server) State() (running, primary, draining bool) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return !s.down, s.actsAsPrimary(), s.draining
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return len(s.conns)
}

// visible returns the applied part of the log; the mutex is held. What a server has
// applied stays applied when its lag grows.
func (s *Server) visible() []entry {
	n := len(s.log)
	if !s.actsAsPrimary() {
		lag := s.group.options.Lag + s.lag
		for n > s.applied && time.Since(s.log[n-1].at) < lag {
			n--
		}
	}
	s.applied = n
	return s.log[:n]
}

// position is the end of the applied log; the mutex is held.
func (s *Server) position() string { return positionOf(s.visible()) }

func positionOf(log []entry) string {
	if len(log) == 0 {
		return "1.0"
	}
	e := log[len(log)-1]
	return strconv.FormatUint(e.term, 10) + "." + strconv.FormatUint(e.number, 10)
}

// lastEntry is the last entry of the log; the mutex is held.
func (s *Server) lastEntry() entry {
	if len(s.log) == 0 {
		return entry{}
	}
	return s.log[len(s.log)-1]
}

func (e entry) after(o entry) bool {
	return e.term > o.term || e.term == o.term && e.number > o.number
}

// hasWrite reports whether the log has the write; the mutex is held.
func (s *Server) hasWrite(w Write) bool {
	for _, e := range s.log {
		for _, x := range e.writes {
			if x == w {
				return true
			}
		}
	}
	return false
}
