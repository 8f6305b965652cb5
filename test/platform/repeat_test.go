package platform_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/world"
)

// isCallers reports whether a statement was sent by a caller, not by a proxy.
func isCallers(id, _ string) bool { return id != "-" }

// isAny selects all statements.
func isAny(_, _ string) bool { return true }

// holdRepeats repeats answers of all servers of the first group; see Server.HoldRepeats.
func (f *fleet) holdRepeats(pick, release func(id, text string) bool) {
	for _, s := range f.Groups[0].Servers() {
		s.HoldRepeats(pick, release)
	}
}

// oneVM leaves one VM, whose callers share its connections.
func oneVM(o *world.Options) { o.VMs = 1 }

// Answers carry no id: a repeated answer was given to the caller of the next statement on the
// connection. The fleet checks each success for the signature and rows of its own statement.
func TestRepeatedAnswerIsNotGivenToAnotherStatement(t *testing.T) {
	for name, release := range map[string]func(id, text string) bool{"before the next statement of a caller": isCallers, "before the next statement": isAny} {
		t.Run(name, func(t *testing.T) {
			f := start(t, oneVM)
			for _, route := range []string{"current-0", "own-0", "bounded-0"} {
				f.holdRepeats(isCallers, release)
				f.alternate(route, 10)
				f.holdRepeats(isAny, release)
				f.alternate(route, 10)
			}
		})
	}
}

// alternate writes and reads n times each on the route, as two callers of one customer in turn.
// Answers of any code are accepted, but some have to succeed.
func (f *fleet) alternate(route string, n int) {
	f.t.Helper()
	callers := []*caller{f.dial(0, route, "key-large"), f.dial(0, route, "key-large")}
	served := 0
	for i := range n {
		for _, text := range []string{fmt.Sprintf("WRITE item %d", i), "READ item"} {
			if callers[i%2].do(text).Code == "" {
				served++
			}
		}
	}
	if served == 0 {
		f.t.Error("no statement succeeded")
	}
}

// A repeated refusal was taken for the answer to a later write, whose caller was told that
// nothing is kept.
func TestRepeatedRefusalIsNotTakenForAnotherStatement(t *testing.T) {
	f := start(t, oneVM)
	isRefused := func(_, text string) bool { return strings.HasPrefix(text, "WRITE refused") }
	f.refuse(isRefused)
	f.holdRepeats(isRefused, isCallers)
	c := f.dial(0, "own-0", "key-large")
	c.expect("WRITE refused 1", "BUSY", "I")
	a := c.do("WRITE kept 1")
	f.awaitWrite(0) // the servers have run what they were sent before
	if a.HasNoEffect() && f.isCommitted("kept") {
		t.Errorf("the write was answered with %s %s and committed", a.Code, a.Text)
	}
}

// The repeated answer to an earlier BEGIN was taken for that to a BEGIN that the server refused,
// and the write of the transaction was committed outside one.
func TestWriteDoesNotRunOutsideItsTransactionAfterRepeatedBegin(t *testing.T) {
	f := start(t, oneVM)
	isBegin := func(_, text string) bool { return text == "BEGIN" }
	f.holdRepeats(isBegin, isBegin)
	c := f.dial(0, "own-0", "key-large")
	c.must("BEGIN")
	c.must("WRITE before 1")
	c.must("COMMIT")
	f.refuse(isBegin)
	if c.do("BEGIN").Code == "" {
		c.do("WRITE item 1")
		c.do("ROLLBACK")
	}
	f.refuse(nil)
	f.awaitWrite(0) // the servers have run what they were sent before
	if f.isCommitted("item") {
		t.Error("a write was committed without the COMMIT of its transaction")
	}
}

// The position in the repeated answer to an earlier BEGIN was taken for that of the primary at
// the time of a later one, and a replica without an older commit served a bounded read.
func TestRepeatedBeginProvesNoPosition(t *testing.T) {
	f := start(t, oneVM)
	c := f.dial(0, "bounded-0", "key-large")
	isBegin := func(_, text string) bool { return text == "BEGIN" }
	f.holdRepeats(isBegin, isBegin)
	c.must("READ item")
	f.lagReplicas()
	if !f.Groups[0].Commit(linegroup.Write{ID: "direct", Item: "item", Data: "new"}) {
		t.Fatal("not committed")
	}
	time.Sleep(2 * time.Second) // the route allows reads to be 1.5 s old
	for range 3 {
		if a := c.do("READ item"); a.Code == "" && (len(a.Rows) != 1 || a.Rows[0] != "new") {
			t.Errorf("the read returned %v", a.Rows)
		}
	}
}

// The repeated answer to an earlier BEGIN hid that a replica had refused a later one since it
// lacked the session's own commit, and the reads of the transaction ran there outside one.
func TestRepeatedBeginDoesNotHideALaggingReplica(t *testing.T) {
	f := start(t, oneVM)
	c := f.dial(0, "own-0", "key-large")
	isBegin := func(_, text string) bool { return strings.HasSuffix(text, "BEGIN READ") }
	for i, s := range f.Groups[0].Servers() {
		if i != 1 {
			s.RefuseStatements(isBegin)
		}
	}
	f.holdRepeats(isBegin, isBegin)
	c.must("BEGIN READ")
	c.must("READ item")
	c.must("COMMIT")
	f.lagReplicas()
	c.must("WRITE item new")
	if c.do("BEGIN READ").Code == "" {
		for range 2 {
			if a := c.do("READ item"); a.Code == "" && (len(a.Rows) != 1 || a.Rows[0] != "new") {
				t.Errorf("the read returned %v", a.Rows)
			}
		}
	}
}

// lagReplicas stops the replicas of the first group from applying further commits.
func (f *fleet) lagReplicas() {
	for _, s := range f.Groups[0].Servers() {
		if s != f.primary() {
			s.SetLag(time.Hour)
		}
	}
}

// refuse makes all servers of the first group refuse statements; see Server.RefuseStatements.
func (f *fleet) refuse(pick func(id, text string) bool) {
	for _, s := range f.Groups[0].Servers() {
		s.RefuseStatements(pick)
	}
}

// isCommitted reports whether the first group has committed a write to the item.
func (f *fleet) isCommitted(item string) bool {
	for _, w := range f.Groups[0].Committed() {
		if w.Item == item {
			return true
		}
	}
	return false
}
