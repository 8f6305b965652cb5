package pool

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/standin/repeatconn"
)

// Guards against a second answer to a statement that is taken for the answer to the next one on the pooled connection,
// whichever caller sent that.
func TestRepeatedAnswerIsNotThatToTheNextStatement(t *testing.T) {
	fault := &repeatconn.Fault{}
	f, err := buildFixtureWithDial(1, fault.Dial)
	if err != nil {
		t.Fatal(err)
	}
	f.t = t
	t.Cleanup(f.close)
	f.mustExecute(f.query("INSERT INTO t (k, v) VALUES (1, 'first'), (2, 'second')"))
	if reply := f.mustExecute(f.query("SELECT v FROM t WHERE k = 1")); !strings.Contains(string(reply.Answer), "first") {
		t.Fatalf("%q", reply.Answer)
	}
	fault.Arm()
	if reply, err := f.execute(f.query("SELECT v FROM t WHERE k = 2")); err == nil && !strings.Contains(string(reply.Answer), "second") {
		t.Errorf("a caller got the answer %q to another caller's statement", reply.Answer)
	}
	if reply, err := f.execute(f.query("SELECT v FROM t WHERE k = 1")); err != nil || !strings.Contains(string(reply.Answer), "first") {
		t.Errorf("next statement: %q, %v", reply.Answer, err)
	}
}

// Any answers of a connection come again, one or several at a time: each caller gets its own, in
// transactions and failed ones, too, and with prepared statements.
func TestRepeatedAnswersMisleadNoCaller(t *testing.T) {
	for _, several := range []int{1, 5} {
		t.Run(fmt.Sprint(several), func(t *testing.T) { checkRepeats(t, several, rand.New(rand.NewPCG(1, uint64(several)))) })
	}
}

// checkRepeats runs random requests, with up to several answers repeated in front of each.
func checkRepeats(t *testing.T, several int, random *rand.Rand) {
	repeated := 0
	fault := &repeatconn.Fault{Pick: func(n int) (list []int) {
		for range random.IntN(several + 1) {
			list = append(list, random.IntN(n))
		}
		repeated += len(list)
		return list
	}}
	f, err := buildFixtureWithDial(1, fault.Dial)
	if err != nil {
		t.Fatal(err)
	}
	f.t = t
	t.Cleanup(f.close)
	expect := func(args *ExecuteArgs, want string, status byte) *ExecuteArgs {
		t.Helper()
		if reply := f.mustExecute(args); !strings.Contains(string(reply.Answer), want) || reply.Status != status {
			t.Fatalf("answer %q, status %c, want %q, %c", reply.Answer, reply.Status, want, status)
		}
		return args
	}
	for i := range 300 {
		text := fmt.Sprintf("text %d;", i)
		switch random.IntN(4) {
		case 0:
			expect(f.query("SELECT '"+text+"'"), text, 'I')
		case 1:
			expect(f.query("SELECT unknown"), "C42", 'I')
		case 2:
			expect(f.extended(t, "SELECT '"+text+"'"), text, 'I')
		case 3:
			open := expect(f.query("BEGIN"), "BEGIN", 'T')
			open = expect(f.continued(open, fmt.Sprintf("INSERT INTO t (k, v) VALUES (%d, '%s')", i, text)), "INSERT", 'T')
			end, status := "COMMIT", byte('T')
			if random.IntN(2) == 0 {
				end, status = "ROLLBACK", 'E'
				open = expect(f.continued(open, "SELECT unknown"), "C42", 'E')
				open = expect(f.continued(open, "SELECT 1"), "C25P02", 'E')
			} else {
				open = expect(f.continued(open, fmt.Sprintf("SELECT v FROM t WHERE k = %d", i)), text, status)
			}
			expect(f.continued(open, end), end, 'I')
		}
	}
	if repeated < 100 || f.owner.Open() != 1 {
		t.Errorf("%d answers repeated, %d connections", repeated, f.owner.Open())
	}
}

// extended returns the request for a statement in the extended protocol, in a new session.
func (f *fixture) extended(t *testing.T, sql string) *ExecuteArgs {
	args := f.query(sql)
	args.Messages = nil
	for _, m := range []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}} {
		var err error
		if args.Messages, err = m.Encode(args.Messages); err != nil {
			t.Fatal(err)
		}
	}
	return args
}
