package pool

import (
	"strings"
	"testing"

	"chicoryline/internal/standin/repeatconn"
)

// A second answer to a statement is taken for the answer to the next one on the pooled connection,
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
