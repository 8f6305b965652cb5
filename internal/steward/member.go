package steward

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// member is a server of the group as the steward finds it.
type member struct {
	Server
	// conn is nil while the server is out of reach; the status counts only with it.
	conn   statement.Conn
	status statement.ServerStatus
	// unlisted tells that another server of the group answers at the address, which is
	// not listed in discovery yet; it counts, and cannot be promoted without its id.
	unlisted bool
	// answers tells that the last connection to the address was taken, or refused.
	answers bool
	// replaced tells that a server of another group answers at the address.
	replaced bool
	// paused tells that the server receives nothing. A restart ends a pause and the
	// connection.
	paused bool
	// held tells that the server was told to pause, and not to resume since.
	held bool
	// tried is when the last connection to the server failed.
	tried boottime.Time
	// gone tells that the server is taken for gone.
	gone bool
}

// describe tells the logs what is known of the server.
func (m *member) describe() string {
	state := "out of reach"
	switch {
	case m.replaced:
		state = "replaced"
	case m.conn != nil && m.status.Primary:
		state = "primary " + m.status.Received.String()
	case m.conn != nil:
		state = "replica " + m.status.Received.String()
	}
	if m.unlisted {
		state += ", another one that is not listed"
	}
	if m.Leaving {
		state += ", leaving"
	}
	if m.Missing > 0 {
		state += fmt.Sprintf(", no entry for %d ms", m.Missing.Milliseconds())
	}
	return state
}

// isThere tells that the server itself took the last connection, or refused it.
func (m *member) isThere() bool { return m.answers && !m.unlisted && !m.replaced }

func (m *member) hangUp() {
	if m.conn != nil {
		m.conn.Close()
	}
	m.conn, m.paused = nil, false
}

// survey asks every server of the group, listed in discovery or not, what it holds. A
// primary that was silent is asked again: VMs that come back from a partition have missed
// answers of a healthy one.
func (a *attempt) survey(ctx context.Context) error {
	if a.t.Refresh != nil {
		servers, err := a.t.Refresh(ctx)
		if err != nil {
			return err
		}
		a.t.Servers = servers
	}
	for _, server := range a.t.Servers {
		a.members = append(a.members, &member{Server: server})
	}
	a.reach(ctx)
	a.demoteReplaced(ctx)
	fields := logrus.Fields{"acknowledged": a.acknowledged().String()}
	for _, m := range a.members {
		fields["server_"+m.ID] = m.describe()
	}
	a.log.WithFields(fields).Info("servers asked")
	return nil
}

// reach asks all servers that are out of reach, side by side.
func (a *attempt) reach(ctx context.Context) {
	done := make(chan struct{}, len(a.members))
	n := 0
	for _, m := range a.members {
		if m.conn != nil || m.replaced {
			continue
		}
		n++
		go func() {
			defer func() { done <- struct{}{} }()
			tries := surveyTries
			if m.Missing > 0 || a.wasLost(m) {
				tries = 1
			}
			for range tries {
				if a.ask(ctx, m, a.s.cfg.Control.Status) == nil || m.replaced {
					return
				}
				time.Sleep(pollPause)
			}
		}()
	}
	for range n {
		<-done
	}
}

// ask runs a control statement at a server, over a new connection if there is none.
// After a failure the connection is given up: a late answer would be taken for that
// of the next statement.
func (a *attempt) ask(ctx context.Context, m *member, run func(statement.Conn, time.Duration) (statement.ServerStatus, error)) error {
	if m.conn == nil {
		conn, err := a.dial(ctx, m, m.ID)
		if m.unlisted = errkind.Is(err, errkind.WrongServer); m.unlisted {
			conn, err = a.dial(ctx, m, "")
			m.replaced = errkind.Is(err, errkind.WrongServer)
		}
		// A refusal is an answer.
		m.answers = !errkind.Is(err, errkind.Unreachable)
		if err != nil {
			m.tried = boottime.Now()
			return err
		}
		m.conn, m.gone = conn, false
	}
	status, err := run(m.conn, controlWait)
	if err != nil {
		m.hangUp()
		return err
	}
	m.status = status
	return nil
}

// wasLost tells that the server is a primary that gave no answer.
func (a *attempt) wasLost(m *member) bool {
	return m.ID == a.t.Primary && (a.t.Reason == Silent || a.t.Reason == Missing)
}

func (a *attempt) dial(ctx context.Context, m *member, id string) (statement.Conn, error) {
	wait := controlWait
	switch {
	case a.wasLost(m):
		wait = silentWait
	case m.Missing > 0:
		wait = missingWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return a.s.cfg.Dialer.Dial(ctx, m.Address, a.t.Group, id, "")
}

// command runs a control statement that changes a server, while the lease is held.
func (a *attempt) command(ctx context.Context, m *member, name string, run func(statement.Conn, time.Duration) (statement.ServerStatus, error)) error {
	var err error
	if m.conn == nil {
		err = a.ask(ctx, m, a.s.cfg.Control.Status)
	}
	if err == nil {
		err = a.s.hold(ctx, a.lease)
	}
	if err == nil {
		err = a.ask(ctx, m, run)
	}
	log := a.log.WithFields(logrus.Fields{"backend_server": m.ID, "command": name})
	if err != nil {
		log.WithError(err).Warn("command failed")
		return err
	}
	log.WithField("received", m.status.Received.String()).Info("command done")
	return nil
}

// pause stops a server from receiving until the next promotion, or beyond the one that
// an earlier order may still bring about.
func (a *attempt) pause(ctx context.Context, m *member) error {
	term := a.nextTerm()
	if len(a.lease.pending) > 0 {
		term++
	}
	m.held = true
	err := a.command(ctx, m, "pause", func(conn statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
		return a.s.cfg.Control.Pause(conn, term, wait)
	})
	if err == nil && m.status.PausedTerm < term {
		err = errkind.New(errkind.Fenced, "%s is at term %d and was not paused at %d", m.ID, m.status.Term, term)
	}
	m.paused = err == nil
	return err
}

// resume lets the servers receive again; the one that leads needs no order. A server
// that cannot be told stays held.
func (a *attempt) resume(ctx context.Context, which func(*member) bool) {
	for _, m := range a.members {
		if m.replaced || m.conn != nil && m.status.Primary || !which(m) {
			continue
		}
		if a.command(ctx, m, "resume", a.s.cfg.Control.Resume) == nil {
			m.paused, m.held = false, false
		}
	}
}

// leftPaused tells which servers this steward, or an earlier one that did not finish,
// may have paused.
func (a *attempt) leftPaused(m *member) bool { return m.held || a.lease.unfinished && m.conn != nil }

// nextTerm is that of the next promotion.
func (a *attempt) nextTerm() uint64 {
	term := uint64(0)
	for _, m := range a.members {
		term = max(term, m.status.Term)
	}
	return term + 1
}

// demoteReplaced tells primaries of a term before the newest to step down: each was
// replaced and has not heard of it.
func (a *attempt) demoteReplaced(ctx context.Context) {
	newest := a.nextTerm() - 1
	for _, m := range a.members {
		if m.conn == nil || !m.status.Primary || m.status.Term >= newest {
			continue
		}
		err := a.command(ctx, m, "step_down", func(conn statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
			return a.s.cfg.Control.StepDown(conn, newest, wait)
		})
		if err != nil || m.status.Primary {
			// It gets no work as long as it claims an earlier term.
			a.log.WithFields(logrus.Fields{"backend_server": m.ID, "term": m.status.Term, "newest_term": newest}).Warn("replaced primary did not step down")
		}
	}
}

// leader returns the server that says that it leads the newest term, nil if none in reach
// does.
func (a *attempt) leader() *member {
	var best *member
	newest := a.nextTerm() - 1
	for _, m := range a.members {
		if m.conn != nil && m.status.Primary && m.status.Term == newest {
			best = m
		}
	}
	return best
}

// replicas returns the servers in reach but the one.
func (a *attempt) replicas(but *member) []Replica {
	var list []Replica
	for _, m := range a.members {
		if m.conn != nil && m != but {
			list = append(list, Replica{ID: m.ID, Received: m.status.Received, Leaving: m.Leaving, Paused: m.paused})
		}
	}
	return list
}

func (a *attempt) member(id string) *member {
	for _, m := range a.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// unreached counts the servers beside the primary that may hold commits, or receive
// them, and do not answer.
func (a *attempt) unreached(ctx context.Context) int {
	n := 0
	for _, m := range a.members {
		if m.conn == nil && !m.replaced && m.ID != a.t.Primary && !a.isGone(ctx, m) {
			n++
		}
	}
	return n
}

// isGone reports whether a server out of reach is taken for gone. A partition hides the
// server's entry as well as the server, and the VMs of its failure domain too: one of
// them has to be heard of after the server did not answer, and it still does not.
func (a *attempt) isGone(ctx context.Context, m *member) bool {
	if m.gone || m.FoundGone {
		m.gone = true
		return true
	}
	if m.Missing < GoneTime || a.t.DomainHeard == nil {
		return false
	}
	for boottime.Since(m.tried) < heardWait && ctx.Err() == nil && !a.t.DomainHeard(m.Server, m.tried) {
		time.Sleep(pollPause)
	}
	m.gone = a.t.DomainHeard(m.Server, m.tried) && a.ask(ctx, m, a.s.cfg.Control.Status) != nil && !m.answers
	return m.gone
}

// mayBePaused tells that a server out of reach may have been paused by an earlier steward.
func (a *attempt) mayBePaused(m *member) bool {
	return a.lease.unfinished && m.conn == nil && !m.replaced && !m.gone && !m.FoundGone
}
