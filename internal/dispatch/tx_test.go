package dispatch

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/connset"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// answeringConn answers every command with success and the position.
type answeringConn struct {
	at     position.Position
	status statement.Status
}

func (c *answeringConn) Send(...statement.Command) error { return nil }
func (c *answeringConn) Alive() bool                     { return true }
func (c *answeringConn) Close()                          {}
func (c *answeringConn) Receive(time.Duration) (statement.Result, error) {
	return statement.Result{Signature: "s", Position: c.at, Status: c.status}, nil
}

// newTx returns a transaction that is open at the primary of the group.
func newTx(t *testing.T, g *Group, conn *answeringConn) *Tx {
	t.Helper()
	set := connset.New(dialFunc(func() (statement.Conn, error) { return conn, nil }), "", "g", "a", 1)
	c, err := set.Acquire(t.Context(), connset.Request{MaxWait: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return &Tx{group: g, server: g.Leader(), conn: c, onPrimary: true}
}

// Guards against stale reads: a primary that has been replaced still commits a transaction
// that wrote nothing, and its old position was taken to cover all commits.
func TestCommitThatWroteNothingProvesNoPosition(t *testing.T) {
	newer, older := position.Position{Term: 2, Offset: 7}, position.Position{Term: 1, Offset: 5}
	for _, c := range []struct {
		name  string
		write bool
		want  position.Position
	}{
		{"reads only", false, older},
		{"writes", true, newer},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGroup("a", "b")
			conn := &answeringConn{at: older, status: statement.InTx}
			tx := newTx(t, g, conn)
			now := boottime.Now()
			call := &Call{Deadline: now.Add(time.Minute), LatencyDeadline: now.Add(time.Minute)}
			if _, err := tx.Run(call, c.write); err != nil {
				t.Fatal(err)
			}
			replacedAt := boottime.Now()
			conn.at, conn.status = newer, statement.Idle
			if _, err := tx.Commit(call); err != nil {
				t.Fatal(err)
			}
			p := g.History.Newest()
			if p.Position != c.want || !c.write && p.At >= replacedAt {
				t.Errorf("position %v recorded for %v, after the primary was replaced at %v", p.Position, p.At, replacedAt)
			}
		})
	}
}
