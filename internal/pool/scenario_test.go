package pool

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/errkind"
)

const (
	// scenarioTimeout bounds each wait; no result depends on its value.
	scenarioTimeout = time.Minute
	// bulkRows rows of bulkBytes each make an answer of several parts.
	bulkRows  = 3
	bulkBytes = 64 << 10
)

// scenario is the setup of one cell of the fault matrix, which is a combination of a
// state and faults: a manager, an instance and the session under test. The session
// inserts the row 'mine' into table w, which has no key, so that a write that ran twice
// leaves two rows.
type scenario struct {
	*fixture
	states  chan string
	openTx  *ExecuteArgs // the open transaction, if the state has one
	request *ExecuteArgs // the request that runs when the faults are injected
	result  chan outcome
	// unblock holds the functions that let the session leave its state.
	unblock     []func()
	healActions []func()
	// mayCommit is true if the request under test may commit the row.
	mayCommit bool
	// firstReply is the first part of the answer to request, if it has several.
	firstReply *ExecuteReply
}

type outcome struct {
	reply *ExecuteReply
	err   error
}

func newScenario() (*scenario, error) {
	f, err := buildFixture(2)
	if err != nil {
		return nil, err
	}
	sc := &scenario{fixture: f, states: make(chan string, 256), result: make(chan outcome, 1), mayCommit: true}
	setup := "CREATE TABLE w (k bigint, v text); CREATE TABLE big (k bigint PRIMARY KEY, v text); INSERT INTO t (k, v) VALUES (0, 'locked')"
	_, _, err = f.server.Store().Run(context.Background(), setup)
	return sc, err
}

// recordStates sends the states of one session to sc.states.
func (sc *scenario) recordStates(id SessionID) {
	sc.manager.trace = func(s SessionID, state string) {
		if s == id {
			sc.states <- state
		}
	}
}

func (sc *scenario) awaitState(state string) error {
	timer := time.NewTimer(scenarioTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-sc.states:
			if got == state {
				return nil
			}
		case <-timer.C:
			return errors.Errorf("state %s was not entered", state)
		}
	}
}

const insertRow = "INSERT INTO w (k, v) VALUES (1, 'mine') RETURNING k"

// runInBackground starts the request under test.
func (sc *scenario) runInBackground(args *ExecuteArgs) {
	args.QueueTimeout = scenarioTimeout
	sc.request = args
	go func() {
		reply, err := sc.execute(args)
		sc.result <- outcome{reply, err}
	}()
}

// beginWithWrite begins a transaction and inserts the row in it.
func (sc *scenario) beginWithWrite() error {
	sc.openTx = sc.query("BEGIN")
	if _, err := sc.execute(sc.openTx); err != nil {
		return err
	}
	_, err := sc.execute(sc.nextRequest(insertRow))
	return err
}

// nextRequest returns the next request of the open transaction.
func (sc *scenario) nextRequest(sql string) *ExecuteArgs {
	args := sc.continued(sc.openTx, sql)
	args.MayCommit = strings.Contains(sql, "COMMIT")
	sc.openTx = args
	return args
}

// enterState brings the session into the given chart state.
func (sc *scenario) enterState(state string) error {
	switch state {
	case "waiting":
		return sc.enterWaiting()
	case "starting", "resuming":
		return sc.enterQueued(state)
	case "executing":
		return sc.enterExecuting()
	case "answer_pending":
		return sc.enterPending()
	case "open":
		return sc.beginWithWrite()
	case "confirming", "confirming_open":
		return sc.enterConfirming(state)
	case "ended":
		_, err := sc.execute(sc.query(insertRow))
		return err
	case "aborted":
		if err := sc.beginWithWrite(); err != nil {
			return err
		}
		sc.mayCommit = false
		return NewService(sc.manager).Abort(&SessionArgs{Session: sc.openTx.Session}, &Empty{})
	}
	return errors.Errorf("cannot enter state %s", state)
}

func (sc *scenario) enterWaiting() error {
	for range 2 {
		release, err := sc.owner.connGate.Acquire(context.Background(), "other", 1, time.Now().Add(scenarioTimeout))
		if err != nil {
			return err
		}
		sc.unblock = append(sc.unblock, release)
	}
	args := sc.query(insertRow)
	sc.recordStates(args.Session)
	sc.runInBackground(args)
	return sc.awaitState("waiting")
}

func (sc *scenario) enterQueued(state string) error {
	args := sc.query(insertRow)
	if state == "resuming" {
		if err := sc.beginWithWrite(); err != nil {
			return err
		}
		args = sc.nextRequest("COMMIT")
	}
	for range 2 {
		release, err := sc.owner.slotGate.Acquire(context.Background(), "other", 1, time.Now().Add(scenarioTimeout))
		if err != nil {
			return err
		}
		sc.unblock = append(sc.unblock, release)
	}
	sc.recordStates(args.Session)
	sc.runInBackground(args)
	return sc.awaitState(state)
}

// enterExecuting makes the request wait for a row lock.
func (sc *scenario) enterExecuting() error {
	holder, err := openConn(context.Background(), &sc.owner.cfg)
	if err != nil {
		return err
	}
	sc.unblock = append(sc.unblock, holder.close)
	for _, sql := range []string{"BEGIN", "UPDATE t SET v = 'held' WHERE k = 0"} {
		if _, err := holder.query(sql, scenarioTimeout); err != nil {
			return err
		}
	}
	args := sc.query(insertRow + "; UPDATE t SET v = 'mine' WHERE k = 0")
	sc.recordStates(args.Session)
	sc.runInBackground(args)
	return sc.awaitState("executing")
}

func (sc *scenario) enterPending() error {
	if err := sc.beginWithWrite(); err != nil {
		return err
	}
	return sc.firstPart()
}

// firstPart reads the first part of a long answer inside the transaction.
func (sc *scenario) firstPart() error {
	if err := sc.fill(); err != nil {
		return err
	}
	sc.mayCommit = false
	sc.request = sc.nextRequest("SELECT v FROM big")
	reply, err := sc.execute(sc.request)
	if err == nil && !reply.More {
		err = errors.Errorf("the answer came in one part")
	}
	sc.firstReply = reply
	return err
}

// fill inserts the rows of a long answer into table big.
func (sc *scenario) fill() error {
	for k := range bulkRows {
		sql := fmt.Sprintf("INSERT INTO big (k, v) VALUES (%d, '%s')", k, strings.Repeat("x", bulkBytes))
		if _, _, err := sc.server.Store().Run(context.Background(), sql); err != nil {
			return err
		}
	}
	return nil
}

func (sc *scenario) enterConfirming(state string) error {
	args := sc.query(insertRow)
	if state == "confirming_open" {
		if err := sc.beginWithWrite(); err != nil {
			return err
		}
		args = sc.nextRequest("COMMIT; BEGIN")
	}
	sc.watcher.blockConfirm = make(chan struct{})
	sc.unblock = append(sc.unblock, func() { close(sc.watcher.blockConfirm) })
	sc.recordStates(args.Session)
	sc.runInBackground(args)
	return sc.awaitState(state)
}

// finishRequest returns the answer of the request under test.
func (sc *scenario) finishRequest(state string) outcome {
	switch state {
	case "ended", "aborted":
		return outcome{}
	case "open":
		reply, err := sc.execute(sc.nextRequest("COMMIT"))
		return outcome{reply, err}
	case "answer_pending":
		return sc.fetchRest()
	}
	select {
	case o := <-sc.result:
		return o
	case <-time.After(scenarioTimeout):
		return outcome{err: errors.New("no answer")}
	}
}

func (sc *scenario) fetchRest() outcome {
	reply := sc.firstReply
	whole := &ExecuteReply{Answer: reply.Answer}
	for part := 1; reply.More; part++ {
		reply = &ExecuteReply{}
		if err := sc.manager.fetch(&FetchArgs{Session: sc.request.Session, Seq: sc.request.Seq, Part: part}, reply); err != nil {
			return outcome{whole, err}
		}
		whole.Answer = append(whole.Answer, reply.Answer...)
		whole.Status = reply.Status
	}
	return outcome{whole, nil}
}

// rows counts the rows 'mine' directly at the instance.
func (sc *scenario) rows() (int, error) {
	results, _, err := sc.server.Store().Run(context.Background(), "SELECT k FROM w WHERE v = 'mine'")
	if err != nil {
		return 0, err
	}
	return len(results[0].Rows), nil
}

// checkOutcome checks that the rows at the instance match the outcome that was reported
// for the request.
func (sc *scenario) checkOutcome(state string, o outcome) error {
	n, err := sc.rows()
	if code := serverError(o.reply); o.err == nil && code != "" {
		if n != 0 {
			return errors.Errorf("the instance returned SQLSTATE %s, but the row exists", code)
		}
		return err
	}
	switch {
	case err != nil:
		return err
	case n > 1:
		return errors.Errorf("the write ran %d times", n)
	case o.err == nil && sc.mayCommit && n != 1:
		return errors.Errorf("the write was acknowledged, but %d rows exist", n)
	case o.err != nil && errkind.KindOf(o.err).Answer().Class == errkind.NotRun && n != 0:
		return errors.Errorf("reported as not run, but the row exists: %v", o.err)
	case o.err != nil && errkind.Is(o.err, errkind.TransactionLost) && n != 0:
		return errors.Errorf("reported as rolled back, but the row exists")
	case !sc.mayCommit && n != 0:
		return errors.Errorf("the open transaction's row is visible")
	}
	return sc.checkAnswer(state, o)
}

// serverError returns the SQLSTATE of the answer's ErrorResponse, if it has one.
func serverError(reply *ExecuteReply) string {
	if reply == nil {
		return ""
	}
	frames, _ := splitFrames(reply.Answer)
	for _, f := range frames {
		if f.kind() == 'E' {
			return errorCode(f.body())
		}
	}
	return ""
}

func (sc *scenario) checkAnswer(state string, o outcome) error {
	if o.err != nil || o.reply == nil {
		return nil
	}
	frames, err := splitFrames(o.reply.Answer)
	if err != nil {
		return errors.Annotate(err, "answer")
	}
	rows, tags := 0, 0
	for _, f := range frames {
		switch f.kind() {
		case 'D':
			rows++
		case 'C':
			tags++
		}
	}
	status := byte('I')
	if state == "confirming_open" || state == "answer_pending" {
		status = 'T'
	}
	switch {
	case state == "answer_pending" && (rows != bulkRows || tags != 1):
		return errors.Errorf("incomplete answer: %d of %d rows", rows, bulkRows)
	case tags == 0:
		return errors.Errorf("answer without CommandComplete")
	case o.reply.Status != status:
		return errors.Errorf("status %c, want %c", o.reply.Status, status)
	}
	return nil
}

// checkCleanup aborts the session and checks that nothing of it is left: no session,
// no row lock, and no connection that returns its answers to other sessions.
func (sc *scenario) checkCleanup() error {
	if sc.openTx != nil {
		_ = NewService(sc.manager).Abort(&SessionArgs{Session: sc.openTx.Session}, &Empty{})
	}
	if n := sc.manager.Busy(); n != 0 {
		return errors.Errorf("%d sessions left", n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	if _, _, err := sc.server.Store().Run(ctx, "UPDATE t SET v = 'after' WHERE k = 0"); err != nil {
		return errors.Annotate(err, "row lock")
	}
	return sc.checkReusedConns()
}

func (sc *scenario) checkReusedConns() error {
	select {
	case <-sc.server.Done():
		return nil
	default:
	}
	// The queries below detect mixed-up answers. The primary and the confirmations have
	// to be restored first, because otherwise no answer is returned at all.
	sc.watcher.setPrimary("db1")
	sc.watcher.rejectConfirm.Store(false)
	manager := NewManager(sc.manager.log, noopObserver{})
	defer manager.Close()
	manager.SetOwner("db1", sc.owner)
	for i := range 3 {
		args := sc.query(fmt.Sprintf("SELECT 'probe %d'", i))
		reply := &ExecuteReply{}
		faultPending := sc.server.Faults().CutAfterRows >= 0
		if err := manager.execute(context.Background(), args, reply); err != nil && faultPending {
			continue // the injected fault hit this query
		} else if err != nil {
			return errors.Annotate(err, "probe")
		}
		if !strings.Contains(string(reply.Answer), fmt.Sprintf("probe %d", i)) || reply.Status != statusIdle {
			return errors.Errorf("probe %d got %q status %c", i, reply.Answer, reply.Status)
		}
	}
	return nil
}
