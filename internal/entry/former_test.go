package entry

import (
	"context"
	"testing"

	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// addressDialer answers for the ids of servers; "" stands for any of the group.
type addressDialer map[string]error

func (d addressDialer) Dial(_ context.Context, _, _, id, _ string) (statement.Conn, error) {
	if err := d[id]; err != nil {
		return nil, err
	}
	return closedConn{}, nil
}

type closedConn struct{ statement.Conn }

func (closedConn) Close() {}

// A server that refuses a connection, or has given its place to another one of the group,
// was taken for one that does not run.
func TestFormerServerThatAnswersIsNotGone(t *testing.T) {
	dark := errkind.New(errkind.Unreachable, "fake")
	other := errkind.New(errkind.WrongServer, "fake")
	for _, c := range []struct {
		name string
		d    addressDialer
		runs bool
	}{
		{"answers", addressDialer{}, true},
		{"refuses", addressDialer{"s": errkind.New(errkind.ConnectionLimit, "fake")}, true},
		{"dark", addressDialer{"s": dark}, false},
		{"another of the group", addressDialer{"s": other}, true},
		{"a server of another group", addressDialer{"s": other, "": other}, false},
		{"another one, dark", addressDialer{"s": other, "": dark}, false},
	} {
		e := newProcess(&growingStore{})
		e.platform.Dialer = c.d
		f := dispatch.FormerServer{ServerInfo: dispatch.ServerInfo{ID: "s", Address: "127.0.0.1:1"}}
		if got := e.mayRun(context.Background(), "g", f); got != c.runs {
			t.Errorf("%s: runs %v", c.name, got)
		}
	}
}
