package linegroup

import (
	"net"
	"strconv"
	"time"
)

// Server is one server of a group. The group's mutex guards the fields below slots.
type Server struct {
	group   *Group
	ID      string
	Domain  string
	Address string
	Started int64 // Unix time in milliseconds; Restart increments it
	slots   chan struct{}

	listener net.Listener
	conns    map[*conn]struct{}
	log      []entry
	applied  int // number of log entries applied
	down     bool
	// unresponsive accepts connections and reads requests but sends no answers.
	unresponsive bool
	// paused (by PAUSE) and receiveBlocked (a fault) stop replication to this server;
	// sendBlocked stops replication from it.
	paused, receiveBlocked, sendBlocked bool
	// actingFormerPrimary means that the server was replaced as primary but still acts as one.
	actingFormerPrimary bool
	// ignoreNewConnections leaves newly opened connections without answers.
	ignoreNewConnections bool
	// term is the newest term that the server has observed, pauseTerm the term of its PAUSE.
	term, pauseTerm uint64
	lag             time.Duration
	// loseAnswers is the number of further statements that run without an answer.
	loseAnswers int
	draining    bool
	// barredAt is the time from which statements are violations; see SetBarredAt.
	barredAt time.Time
	repeats  repeats
	// refuses selects statements that are refused as by a full server.
	refuses func(id, text string) bool
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

// Crash stops the server and closes its connections; its log is kept.
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

// Restart starts a crashed server again at its address with its log. It comes back as a
// replica unless it is still the group's primary.
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

// withLock runs the function under the group's mutex.
func (s *Server) withLock(f func()) { s.group.withLock(f) }

// SetUnresponsive makes the server accept requests without answering, or ends that.
// Replication within the group continues.
func (s *Server) SetUnresponsive(on bool) { s.withLock(func() { s.unresponsive = on }) }

// SetReceiveBlocked stops replication to the server, or resumes it.
func (s *Server) SetReceiveBlocked(on bool) {
	s.withLock(func() {
		s.receiveBlocked = on
		s.group.replicateTo(s)
	})
}

// SetSendBlocked stops replication from the server to others, or resumes it.
func (s *Server) SetSendBlocked(on bool) {
	s.withLock(func() {
		s.sendBlocked = on
		for _, r := range s.group.servers {
			s.group.replicateTo(r)
		}
		s.group.scheduleDemotion(s)
	})
}

// SetIgnoreNewConnections leaves connections opened from now on without answers, or ends
// that for all of them. Connections that are already open keep working.
func (s *Server) SetIgnoreNewConnections(on bool) {
	s.withLock(func() {
		s.ignoreNewConnections = on
		for c := range s.conns {
			c.ignored = c.ignored && on
		}
	})
}

// SetLag sets the additional delay between receiving and applying a commit.
func (s *Server) SetLag(d time.Duration) { s.withLock(func() { s.lag = d }) }

// LoseAnswers runs the next n statements without an answer.
func (s *Server) LoseAnswers(n int) { s.withLock(func() { s.loseAnswers = n }) }

// RefuseStatements makes the server answer BUSY to each statement that pick selects, without
// running it. A nil pick ends that.
func (s *Server) RefuseStatements(pick func(id, text string) bool) {
	s.withLock(func() { s.refuses = pick })
}

// StartDraining marks the server as about to stop.
func (s *Server) StartDraining() { s.withLock(func() { s.draining = true }) }

// State reports whether the server is running, acts as primary and is draining.
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

// visible returns the applied part of the log; the caller holds the mutex. Applied entries
// stay applied when the lag grows.
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

// position returns the position of the last applied entry; the caller holds the mutex.
func (s *Server) position() string { return positionOf(s.visible()) }

// positionOf returns the position of the last entry as "term.number".
func positionOf(log []entry) string {
	if len(log) == 0 {
		return "1.0"
	}
	e := log[len(log)-1]
	return strconv.FormatUint(e.term, 10) + "." + strconv.FormatUint(e.number, 10)
}

// lastEntry returns the last entry of the log, or a zero entry; the caller holds the mutex.
func (s *Server) lastEntry() entry {
	if len(s.log) == 0 {
		return entry{}
	}
	return s.log[len(s.log)-1]
}

func (e entry) after(o entry) bool {
	return e.term > o.term || e.term == o.term && e.number > o.number
}

// hasWrite reports whether the log contains the write; the caller holds the mutex.
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
