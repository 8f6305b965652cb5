package answers

import (
	"os"
	"slices"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// script is a connection that delivers the given answers; a nil one is a wait that ends without
// an answer.
type script struct {
	answers []*statement.Result
	sent    []statement.Command
	closed  bool
}

func (s *script) Send(commands ...statement.Command) error {
	s.sent = append(s.sent, commands...)
	return nil
}

func (s *script) Receive(time.Duration) (statement.Result, error) {
	if len(s.answers) == 0 {
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	r := s.answers[0]
	s.answers = s.answers[1:]
	if r == nil {
		return statement.Result{}, os.ErrDeadlineExceeded
	}
	return *r, nil
}

func (s *script) Alive() bool { return !s.closed }
func (s *script) Close()      { s.closed = true }

func signed(signature string, state statement.Status) *statement.Result {
	return &statement.Result{Signature: signature, Status: state}
}

func plain(state statement.Status, rows ...string) *statement.Result {
	return &statement.Result{Rows: rows, Status: state}
}

func refused(kind errkind.Kind, state statement.Status) *statement.Result {
	return &statement.Result{Err: errkind.New(kind, "fake"), Status: state}
}

var (
	begin    = statement.Command{Text: "begin", State: statement.InTx}
	rollback = statement.Command{Text: "rollback", State: statement.Idle}
	set      = statement.Command{Text: "set"}
	status   = statement.Command{Text: "status", Rows: true}
)

func of(id string) statement.Command { return statement.Command{ID: id, Text: "statement " + id} }

// probeTexts are the texts of probes.
type probeTexts struct{}

func (probeTexts) Rollback() string                    { return "rollback" }
func (probeTexts) Prepare(string, string, bool) string { return "probe" }

// newConn returns a connection on the script, and its report.
func newConn(raw statement.Conn) (*Conn, *logtest.Hook, gometrics.Registry) {
	log, hook := logtest.NewNullLogger()
	registry := gometrics.NewRegistry()
	return New(raw, probeTexts{}, Report{Log: logrus.NewEntry(log), Registry: registry}), hook, registry
}

func count(r gometrics.Registry, reason Reason) int64 {
	return gometrics.GetOrRegisterCounter("answers."+string(reason), r).Count()
}

// Guards against an operator who cannot tell a server that repeats answers from late answers and
// from two users of one connection.
func TestAnswersThatDoNotMatchAreReported(t *testing.T) {
	const inTx, idle = statement.InTx, statement.Idle
	for name, c := range map[string]struct {
		commands []statement.Command
		answers  []*statement.Result
		reason   Reason // of the last answer
		ago      int
		limits   int64
	}{
		"own answers":                {commands: []statement.Command{begin, of("1"), of("2"), rollback}, answers: []*statement.Result{plain(inTx), signed("a", inTx), signed("b", inTx), plain(idle)}},
		"statement before":           {commands: []statement.Command{of("1"), of("2")}, answers: []*statement.Result{signed("a", idle), signed("a", idle)}, reason: Repeated},
		"two statements before":      {commands: []statement.Command{of("1"), of("2"), of("3")}, answers: []*statement.Result{signed("a", idle), signed("b", idle), signed("a", idle)}, reason: Repeated, ago: 1},
		"command's for a statement":  {commands: []statement.Command{set, of("1")}, answers: []*statement.Result{plain(idle), plain(idle)}, reason: Unsigned, ago: -1},
		"late one for a command":     {commands: []statement.Command{of("1"), rollback}, answers: []*statement.Result{nil, refused(errkind.QueueFull, idle), signed("a", idle)}, reason: UnknownSignature, ago: -1, limits: 1},
		"begin's for a rollback":     {commands: []statement.Command{begin, rollback}, answers: []*statement.Result{plain(inTx), plain(inTx)}, reason: WrongState, ago: -1},
		"status without a row":       {commands: []statement.Command{set, status}, answers: []*statement.Result{plain(idle), plain(idle)}, reason: WrongRows, ago: -1},
		"refusal":                    {commands: []statement.Command{of("1"), of("2")}, answers: []*statement.Result{refused(errkind.QueueFull, idle), signed("a", idle)}},
		"same statement sent again":  {commands: []statement.Command{of("1"), of("1")}, answers: []*statement.Result{signed("a", idle), signed("a", idle)}},
		"a wait without an answer":   {commands: []statement.Command{of("1")}, answers: []*statement.Result{nil, signed("a", idle)}},
		"set-up in a transaction":    {commands: []statement.Command{begin, set, of("1")}, answers: []*statement.Result{plain(inTx), plain(inTx), signed("a", inTx)}},
		"status of an idle session":  {commands: []statement.Command{status}, answers: []*statement.Result{plain(idle, "row")}},
		"begin refused, then opened": {commands: []statement.Command{begin, begin}, answers: []*statement.Result{refused(errkind.ReadOnly, idle), plain(idle), plain(inTx), plain(inTx), plain(inTx)}},
	} {
		t.Run(name, func(t *testing.T) {
			conn, hook, registry := newConn(&script{answers: slices.Clone(c.answers)})
			if err := conn.Send(c.commands...); err != nil {
				t.Fatal(err)
			}
			for range c.answers {
				_, _ = conn.Receive(time.Second)
			}
			last := hook.LastEntry()
			if c.reason == "" {
				if last != nil {
					t.Fatalf("reported: %v", last.Data)
				}
				return
			}
			if last == nil || len(hook.AllEntries()) != 1 || last.Data["reason"] != string(c.reason) || last.Data["statements_ago"] != c.ago || last.Data["time_limits"] != c.limits || count(registry, c.reason) != 1 {
				t.Errorf("reported %+v, want one %s, %d statements ago, after %d time limits", last, c.reason, c.ago, c.limits)
			}
		})
	}
}

// entered runs a function while a call waits.
type entered struct {
	*script
	during func()
}

func (e entered) Receive(wait time.Duration) (statement.Result, error) {
	e.during()
	return e.script.Receive(wait)
}

func TestTwoUsersOfOneConnectionAreReported(t *testing.T) {
	var c *Conn
	c, hook, registry := newConn(entered{&script{answers: []*statement.Result{signed("a", statement.Idle)}}, func() { _ = c.Send(of("2")) }})
	_ = c.Send(of("1"))
	if _, err := c.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	if count(registry, Overlapping) != 1 || hook.LastEntry().Data["reason"] != string(Overlapping) {
		t.Errorf("reported %v", hook.AllEntries())
	}
}
