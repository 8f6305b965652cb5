package dispatch

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// dialFunc is a dialer that calls the function.
type dialFunc func() (statement.Conn, error)

func (f dialFunc) Dial(context.Context, string, string, string, string) (statement.Conn, error) {
	return f()
}

// idleConn is a connection on which every send fails.
type idleConn struct{ statement.Conn }

func (idleConn) Close()                          {}
func (idleConn) Send(...statement.Command) error { return errkind.New(errkind.OutcomeUnknown, "sent") }

// Guards against sending a statement that waited for a connection to a leaving server after
// that server may no longer get work (DRAIN).
func TestWaitForAConnectionEndsWithTheLeavingTime(t *testing.T) {
	for name, send := range map[string]func(*Group, *Server, *Call) error{
		"write": func(g *Group, _ *Server, call *Call) error {
			_, _, err := g.acquirePrimary(context.Background(), call)
			return err
		},
		"read": func(g *Group, s *Server, call *Call) error {
			_, err, _ := g.readAt(context.Background(), s, call, position.Position{}, nil)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup("b")
			g.cfg.Dialer = dialFunc(func() (statement.Conn, error) {
				info := entryOf("a", true, 6)
				info.Leaving, info.ChangedAfter = true, boottime.Now().Add(-g.cfg.LeaveTime)
				g.update(info)
				return idleConn{}, nil
			})
			g.update(entryOf("a", true, 5))
			a := g.servers["a"]
			now := boottime.Now()
			err := send(g, a, &Call{Deadline: now.Add(time.Minute), LatencyDeadline: now.Add(time.Minute)})
			if !errkind.Is(err, errkind.NoPrimary) && !errkind.Is(err, errkind.ShuttingDown) {
				t.Errorf("error %v, want no_primary or shutting_down", err)
			}
			if load := a.Conns.Load(""); load.InUse != 0 || !load.Idle {
				t.Errorf("the connection was not released: %+v", load)
			}
		})
	}
}
