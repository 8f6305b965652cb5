package answers

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// modelServer is a connection to a server that runs each command when it is sent. It refuses some,
// is late with some answers, and repeats answers at random later points.
type modelServer struct {
	t       *rapid.T
	repeats int // that it may still write
	state   statement.Status
	ran     map[string]bool
	opened  bool // by the last begin
	asked   int  // statuses requested, the last of which is the row of a status
	written []statement.Result
	queue   results
	// log is the end of the server's log, moves how many of 10 commands find it moved.
	log   uint64
	moves int
	late  bool
}

func (s *modelServer) Send(commands ...statement.Command) error {
	for _, m := range commands {
		s.maybeRepeat()
		r := s.run(m)
		if rapid.IntRange(1, 10).Draw(s.t, "move") <= s.moves {
			s.log++
		}
		r.Position = position.Position{Term: 1, Offset: s.log}
		s.written, s.queue = append(s.written, r), append(s.queue, &r)
	}
	s.late = rapid.IntRange(0, 9).Draw(s.t, "late") == 0
	return nil
}

// maybeRepeat writes an earlier answer again, each at most once.
func (s *modelServer) maybeRepeat() {
	if s.repeats == 0 || len(s.written) == 0 || rapid.IntRange(0, 3).Draw(s.t, "repeat") > 0 {
		return
	}
	s.repeats--
	i := len(s.written) - 1 - rapid.IntRange(0, min(9, len(s.written)-1)).Draw(s.t, "ago")
	r := s.written[i]
	s.written, s.queue = slices.Delete(s.written, i, i+1), append(s.queue, &r)
}

func (s *modelServer) run(m statement.Command) statement.Result {
	refuses := rapid.IntRange(0, 4).Draw(s.t, "refuses") == 0
	switch {
	case s.state == broken && m.Text != "rollback":
		return *refused(errkind.ProtocolViolation, broken)
	case m.Text == "rollback":
		s.state = idle
	case m.Text == "begin":
		if s.opened = !refuses; refuses {
			return *refused(errkind.NotEligible, s.state)
		}
		s.state = inTx
	case m.Rows:
		s.asked++
		return *plain(s.state, strconv.Itoa(s.asked))
	case m.ID != "" && refuses:
		if s.state == inTx && rapid.Bool().Draw(s.t, "fails") {
			s.state = broken
		}
		return *refused(errkind.QueueFull, s.state)
	case m.ID != "":
		if s.ran[m.ID] = true; m.Text == "commit" {
			s.state = idle
		}
		return *signed("signature of "+m.ID, s.state)
	}
	return *plain(s.state)
}

func (s *modelServer) Receive(time.Duration) (statement.Result, error) {
	if s.late || len(s.queue) == 0 {
		s.late = false
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	r := s.queue[0]
	s.queue = s.queue[1:]
	return *r, nil
}

func (s *modelServer) HasInput() bool { return len(s.queue) > 0 }
func (s *modelServer) Alive() bool    { return true }
func (s *modelServer) Close()         {}

// user runs statements as the pool does. It checks what callers are told.
type user struct {
	t       *rapid.T
	repeats int // of each connection
	// promises and proofs report that refusals, and the answers to begin and status, are checked, too.
	promises, proofs bool
	// moves is that of the servers, drawn if it is 0.
	moves  int
	server *modelServer
	conn   *Conn
	unread int
	id     int
}

func (u *user) connect() {
	u.server = &modelServer{t: u.t, repeats: u.repeats, state: idle, ran: map[string]bool{}, moves: u.moves}
	if u.moves == 0 {
		u.server.moves = rapid.SampledFrom([]int{0, 1, 5, 10}).Draw(u.t, "moves")
	}
	u.conn, _, _ = newConn(u.server)
	u.unread = 0
}

// acquire returns whether the answers left by the use before were read; otherwise it connects anew.
func (u *user) acquire() {
	if u.conn == nil || u.conn.Repeated() || !u.conn.Reusable() {
		u.connect()
	}
	for ; u.unread > 0; u.unread-- {
		if r, err := u.conn.Receive(time.Second); err != nil || r.Status != idle {
			u.connect()
			return
		}
	}
}

// run runs a statement and reports its state, 0 if the connection is no longer usable.
func (u *user) run(text string, trailing ...statement.Command) statement.Status {
	u.id++
	id := strconv.Itoa(u.id)
	_ = u.conn.Send(append([]statement.Command{{ID: id, Text: text}}, trailing...)...)
	r, err := u.conn.Receive(time.Second)
	for range 3 {
		if !statement.IsTimeout(err) {
			break
		}
		r, err = u.conn.Receive(time.Second) // the answer comes late
	}
	switch {
	case err != nil:
		u.conn = nil
		return 0
	case r.Signature != "" && r.Signature != "signature of "+id:
		u.t.Fatalf("statement %s got the %s", id, r.Signature)
	case r.Err == nil && r.Signature == "":
		u.t.Fatalf("statement %s got a success without a signature", id)
	case u.promises && r.Err != nil && u.server.ran[id]:
		u.t.Fatalf("statement %s ran, its caller got %v", id, r.Err)
	}
	return r.Status
}

// begin reports whether a transaction was opened.
func (u *user) begin(trailing ...statement.Command) bool {
	_ = u.conn.Send(append([]statement.Command{begin}, trailing...)...)
	r, err := u.conn.Receive(time.Second)
	if err != nil {
		u.conn = nil
		return false
	}
	u.unread += len(trailing)
	switch wrong := r.Err == nil && !u.server.opened; {
	case wrong && u.proofs:
		u.t.Fatal("a transaction that was refused seems open")
	case wrong && u.promises:
		u.conn = nil
		return false
	}
	if r.Err != nil {
		u.end()
	}
	return r.Err == nil
}

func (u *user) end() {
	_ = u.conn.Send(rollback)
	u.unread++
}

func (u *user) transaction() {
	if !u.begin() {
		return
	}
	for range rapid.IntRange(0, 4).Draw(u.t, "statements") {
		switch u.run("statement") {
		case 0:
			return
		case inTx:
		default:
			u.end()
			return
		}
	}
	if u.run("commit") != idle && u.conn != nil {
		u.end()
	}
}

func (u *user) readInTransaction() {
	if u.begin() && u.run("read", rollback) != 0 {
		u.unread++
	}
}

func (u *user) status() {
	_ = u.conn.Send(status)
	r, err := u.conn.Receive(time.Second)
	if err != nil {
		u.conn = nil
		return
	}
	if u.proofs && r.Err == nil && r.Rows[0] != fmt.Sprint(u.server.asked) {
		u.t.Fatalf("status %s, %d were requested", r.Rows[0], u.server.asked)
	}
}

func (u *user) setUp() {
	_ = u.conn.Send(set)
	if r, err := u.conn.Receive(time.Second); err != nil || r.Err != nil {
		u.conn = nil
	}
}

func (u *user) play() {
	for range rapid.IntRange(1, 30).Draw(u.t, "uses") {
		u.acquire()
		switch rapid.SampledFrom([]string{"statement", "transaction", "read", "refresh", "status", "set-up"}).Draw(u.t, "use") {
		case "statement":
			if s := u.run("statement"); s != 0 && s != idle {
				u.end()
			}
		case "transaction":
			u.transaction()
		case "read":
			u.readInTransaction()
		case "refresh":
			u.begin(rollback)
		case "status":
			u.status()
		case "set-up":
			u.setUp()
		}
		if u.conn != nil {
			u.server.maybeRepeat()
		}
	}
}

// One answer of a connection comes again at any later point: no caller gets another's answer, a
// promise for a statement that ran, or a transaction that was refused.
func TestOneRepeatedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { (&user{t: t, repeats: 1, promises: true, proofs: true}).play() })
}

// Nor with three, if the log has moved in between.
func TestThreeRepeatedAnswersOfAServerWithWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { (&user{t: t, repeats: 3, moves: 10, promises: true, proofs: true}).play() })
}

// Every answer may come again, once: no caller gets another's answer.
func TestManyRepeatedAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { (&user{t: t, repeats: 1000}).play() })
}

// Nor a promise for a statement that ran. The use of a connection ends when a begin seems open though
// it was refused, as the log need not move (docs/design/answer-matching.md).
func TestManyRepeatedAnswersMakeNoPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { (&user{t: t, repeats: 1000, promises: true}).play() })
}
