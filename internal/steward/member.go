package steward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// member is a server of the group and its state as observed by the steward.
type member struct {
	Server
	// conn is nil while the server is unreachable. The status is valid only with a conn, and is
	// the first answer on its connection.
	conn   statement.Conn
	status statement.ServerStatus
	// unlisted reports that another server of the group, not listed in discovery yet,
	// answers at the address. Its log counts, but it cannot be promoted without its ID.
	unlisted bool
	// addressAnswers reports that the last connection attempt was accepted or refused.
	addressAnswers bool
	// replaced reports that a server of another group answers at the address.
	replaced bool
	// paused reports that the server receives nothing from the primary, after a pause for
	// pausedTerm. A restart ends both the pause and the connection.
	paused     bool
	pausedTerm uint64
	// pauseSent reports that this steward tried to pause the server, which may have taken
	// effect, and that no resume succeeded since.
	pauseSent bool
	// failedAt is when the last connection attempt failed.
	failedAt boottime.Time
	// gone reports that the server counts as no longer running.
	gone bool
}

// describe returns the server's observed state for the log.
func (m *member) describe() string {
	state := "unreachable"
	switch {
	case m.replaced:
		state = "replaced"
	case m.conn != nil && m.status.Primary:
		state = "primary " + m.status.Received.String()
	case m.conn != nil:
		state = "replica " + m.status.Received.String()
	}
	if m.unlisted {
		state += ", different server without a discovery entry"
	}
	if m.Leaving {
		state += ", leaving"
	}
	if m.Cold {
		state += ", cold"
	}
	if m.Missing > 0 {
		state += fmt.Sprintf(", no discovery entry for %d ms", m.Missing.Milliseconds())
	}
	return state
}

// isAnswering reports whether the server itself accepted or refused the last connection.
func (m *member) isAnswering() bool { return m.addressAnswers && !m.unlisted && !m.replaced }

func (m *member) closeConn() {
	if m.conn != nil {
		m.conn.Close()
	}
	m.conn, m.paused = nil, false
}

// surveyServers requests the status of every server of the group, listed in discovery or
// not. This includes a primary that did not answer: VMs that were partitioned have missed
// the answers of a healthy one.
func (a *attempt) surveyServers(ctx context.Context) error {
	if a.t.RefreshServers != nil {
		servers, err := a.t.RefreshServers(ctx)
		if err != nil {
			return err
		}
		a.t.Servers = servers
	}
	for _, server := range a.t.Servers {
		a.members = append(a.members, &member{Server: server})
	}
	a.probeUnreachable(ctx)
	a.demoteFormerPrimaries(ctx)
	a.dropVoidRetired()
	fields := logrus.Fields{"acknowledged": a.acknowledged().String()}
	for _, m := range a.members {
		fields["server_"+m.ID] = m.describe()
		if bound, ok := a.logBound(m); ok {
			fields["bound_"+m.ID] = bound.String()
		}
	}
	a.log.WithFields(fields).Info("servers asked")
	return nil
}

// probeUnreachable requests the status of all unreachable servers concurrently.
func (a *attempt) probeUnreachable(ctx context.Context) {
	a.forEach(func(m *member) bool { return m.conn == nil && !m.replaced }, func(m *member) {
		tries := surveyAttempts
		if a.mayBeGone(m) || a.isSilentPrimary(m) {
			tries = 1
		}
		for range tries {
			if a.runControl(ctx, m, a.s.cfg.Control.Status) == nil || m.replaced {
				return
			}
			time.Sleep(pollInterval)
		}
	})
}

// forEach runs the function for members concurrently and waits for all of them.
func (a *attempt) forEach(which func(*member) bool, run func(*member)) {
	var all sync.WaitGroup
	for _, m := range a.members {
		if which(m) {
			all.Go(func() { run(m) })
		}
	}
	all.Wait()
}

// runControl runs a control statement at a server over a new connection.
func (a *attempt) runControl(ctx context.Context, m *member, run controlStatement) (err error) {
	defer a.closeAfterPanic(m, &err)
	if err := a.connect(ctx, m); err != nil {
		return err
	}
	return m.run(run)
}

// controlStatement runs a control statement over a connection.
type controlStatement func(statement.Conn, time.Duration) (statement.ServerStatus, error)

// closeAfterPanic returns a panic as an error and closes the connection. It is deferred.
func (a *attempt) closeAfterPanic(m *member, err *error) {
	if p := recover(); p != nil {
		*err = panicError(a.log, p)
		m.closeConn()
	}
}

// connect replaces the connection to the server by a new one. Answers carry no ID, and a server
// may send one twice, the second time after later ones. So only the first answer on a connection
// is known to belong to its statement.
func (a *attempt) connect(ctx context.Context, m *member) error {
	paused := m.paused && m.conn.Alive()
	m.closeConn()
	conn, err := a.dial(ctx, m, m.ID)
	if m.unlisted = errkind.Is(err, errkind.WrongServer); m.unlisted {
		conn, err = a.dial(ctx, m, "")
		m.replaced = errkind.Is(err, errkind.WrongServer)
	}
	// A refused connection counts as an answer.
	m.addressAnswers = !errkind.Is(err, errkind.Unreachable)
	if err != nil {
		m.failedAt = a.s.now()
		return err
	}
	m.conn, m.gone, m.paused = conn, false, paused
	return nil
}

// run runs the first statement on a new connection. A failure closes the connection.
func (m *member) run(run controlStatement) error {
	status, err := run(m.conn, controlTimeout)
	if err != nil {
		m.closeConn()
		return err
	}
	m.status = status
	m.paused = m.paused && status.PausedTerm >= m.pausedTerm
	return nil
}

// pollStatus requests the status over the open connection, and again over a new one if the status is
// news: it may be a repeated earlier one. It reports whether the member's status was renewed.
func (a *attempt) pollStatus(ctx context.Context, m *member, isNews func(statement.ServerStatus) bool) (renewed bool, err error) {
	defer a.closeAfterPanic(m, &err)
	if m.conn != nil {
		switch status, err := a.s.cfg.Control.Status(m.conn, controlTimeout); {
		case errkind.Is(err, errkind.Unreachable):
			m.closeConn()
			return false, err
		case err == nil && !isNews(status):
			return false, nil
		}
	}
	err = a.runControl(ctx, m, a.s.cfg.Control.Status)
	return err == nil, err
}

// isNews reports whether the status differs from the known one.
func (m *member) isNews(status statement.ServerStatus) bool { return status != m.status }

// isSilentPrimary reports whether the server is the primary and did not answer.
func (a *attempt) isSilentPrimary(m *member) bool {
	return m.ID == a.t.Primary && (a.t.Reason == Silent || a.t.Reason == Missing)
}

// mayBeGone reports whether the attempt should not wait long for the server: it may have ended, or
// the attempt changes nothing if it does not answer.
func (a *attempt) mayBeGone(m *member) bool {
	return m.Missing > 0 || a.isRetired(m) || a.t.Reason == Departing
}

func (a *attempt) dial(ctx context.Context, m *member, id string) (statement.Conn, error) {
	wait := controlTimeout
	switch {
	case a.isSilentPrimary(m):
		wait = silentDialTimeout
	case a.mayBeGone(m):
		wait = missingDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return a.s.cfg.Dialer.Dial(ctx, m.Address, a.t.Group, id, "")
}

// command runs a control statement that changes a server's state, under the lease.
func (a *attempt) command(ctx context.Context, m *member, name string, run controlStatement) error {
	err := a.runUnderLease(ctx, m, run)
	log := a.log.WithFields(logrus.Fields{"backend_server": m.ID, "command": name})
	if err != nil {
		log.WithError(err).Warn("command failed")
		return err
	}
	log.WithField("received", m.status.Received.String()).Info("command done")
	return nil
}

// runUnderLease runs a control statement over a new connection, which is opened before the lease
// is renewed: opening takes up to controlTimeout as well.
func (a *attempt) runUnderLease(ctx context.Context, m *member, run controlStatement) (err error) {
	defer a.closeAfterPanic(m, &err)
	if err := a.connect(ctx, m); err != nil {
		return err
	}
	if err := a.s.renewLease(ctx, a.lease); err != nil {
		m.closeConn()
		return err
	}
	return m.run(run)
}

// pause stops a server from receiving until the next promotion. If an earlier order may
// still cause a promotion, the pause lasts beyond that one.
func (a *attempt) pause(ctx context.Context, m *member) error {
	pauseTerm := a.nextTerm()
	if len(a.lease.pendingTargets) > 0 {
		pauseTerm++
	}
	m.pauseSent = true
	err := a.command(ctx, m, "pause", func(conn statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
		return a.s.cfg.Control.Pause(conn, pauseTerm, wait)
	})
	if err == nil && m.status.PausedTerm < pauseTerm {
		err = errkind.New(errkind.Fenced, "server %s at term %d did not pause at term %d", m.ID, m.status.Term, pauseTerm)
	}
	m.paused, m.pausedTerm = err == nil, pauseTerm
	return err
}

// resume lets the servers receive again, except for the primary, which needs no command. A
// server that cannot be commanded keeps pauseSent.
func (a *attempt) resume(ctx context.Context, which func(*member) bool) {
	for _, m := range a.members {
		if m.replaced || m.conn != nil && m.status.Primary || !which(m) {
			continue
		}
		if a.command(ctx, m, "resume", a.s.cfg.Control.Resume) == nil {
			m.paused, m.pauseSent = false, false
		}
	}
}

// mayNeedResume reports whether this steward, or an earlier one that did not finish, may
// have paused the server. A retired server stays paused.
func (a *attempt) mayNeedResume(m *member) bool {
	return (m.pauseSent || a.lease.unfinished && m.conn != nil) && !a.isRetired(m)
}

// nextTerm returns the term of the next promotion. A commit of a later term than those of the
// reachable servers may be known to be acknowledged: the primary of that term is unreachable,
// and the others have not observed it.
func (a *attempt) nextTerm() uint64 {
	term := a.acknowledged().Term
	for _, m := range a.members {
		term = max(term, m.status.Term)
	}
	return term + 1
}

// demoteFormerPrimaries makes primaries of a term before the newest step down: they were
// replaced without observing it.
func (a *attempt) demoteFormerPrimaries(ctx context.Context) {
	newest := a.nextTerm() - 1
	for _, m := range a.members {
		if m.conn == nil || !m.status.Primary || m.status.Term >= newest {
			continue
		}
		err := a.command(ctx, m, "step_down", func(conn statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
			return a.s.cfg.Control.StepDown(conn, newest, wait)
		})
		if err != nil || m.status.Primary {
			// VMs send it no statements as long as it reports an earlier term.
			a.log.WithFields(logrus.Fields{"backend_server": m.ID, "term": m.status.Term, "newest_term": newest}).Warn("replaced primary did not step down")
		}
	}
}

// currentPrimary returns the reachable server that reports to lead the newest term, or nil.
func (a *attempt) currentPrimary() *member {
	var best *member
	newest := a.nextTerm() - 1
	for _, m := range a.members {
		if m.conn != nil && m.status.Primary && m.status.Term == newest {
			best = m
		}
	}
	return best
}

// presumePrimary takes the only unreachable server for the primary if none is known, as on VMs
// that all restarted after it was lost. No acknowledged commit is lost with that server, as
// another one holds each, and it acknowledges nothing while the others are paused.
func (a *attempt) presumePrimary() {
	if a.t.Primary != "" {
		return
	}
	var presumed *member
	for _, m := range a.members {
		switch {
		case m.conn != nil, a.isBounded(m):
		case presumed != nil:
			return
		default:
			presumed = m
		}
	}
	if presumed != nil {
		a.log.WithField("backend_server", presumed.ID).Info("unreachable server presumed to be primary")
		a.t.Primary = presumed.ID
	}
}

// replicas returns the reachable servers without the given one.
func (a *attempt) replicas(except *member) []Replica {
	var list []Replica
	for _, m := range a.members {
		if m.conn != nil && m != except {
			list = append(list, Replica{ID: m.ID, Received: m.status.Received, Leaving: m.Leaving, Cold: m.Cold, Paused: m.paused, Evacuated: a.isEvacuated(m)})
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

// countUnreachable counts the servers other than the primary that do not answer and may
// receive commits, or hold commits without a log bound.
func (a *attempt) countUnreachable(ctx context.Context) int {
	n := 0
	for _, m := range a.members {
		if m.conn == nil && !m.replaced && m.ID != a.t.Primary && !a.isBounded(m) && !a.isGone(ctx, m) {
			n++
		}
	}
	return n
}

// isGone reports whether an unreachable server counts as no longer running. A network
// partition hides the server, its entry and the VMs of its failure domain. So one of these
// VMs has to send a state update after the server did not answer, and a further attempt to
// reach the server has to fail.
func (a *attempt) isGone(ctx context.Context, m *member) bool {
	if m.gone || m.ConfirmedGone {
		m.gone = true
		return true
	}
	if m.Missing < GoneTimeout || a.t.IsDomainReachable == nil {
		return false
	}
	for a.s.now().Sub(m.failedAt) < domainObservationTimeout && ctx.Err() == nil && !a.t.IsDomainReachable(m.Server, m.failedAt) {
		time.Sleep(pollInterval)
	}
	m.gone = a.t.IsDomainReachable(m.Server, m.failedAt) && a.runControl(ctx, m, a.s.cfg.Control.Status) != nil && !m.addressAnswers
	return m.gone
}

// mayBePausedUnreachable reports whether the server is unreachable and may have been paused
// by an earlier steward.
func (a *attempt) mayBePausedUnreachable(m *member) bool {
	return a.lease.unfinished && m.conn == nil && !m.replaced && !m.gone && !m.ConfirmedGone && !a.isRetired(m)
}
