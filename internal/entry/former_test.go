package entry

import (
	"context"
	"testing"

	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// addressDialer returns errors by server ID; "" stands for any server of the group.
type addressDialer map[string]error

func (d addressDialer) Dial(_ context.Context, _, _, id, _ string) (statement.Conn, error) {
	if err := d[id]; err != nil {
		return nil, err
	}
	return closedConn{}, nil
}

type closedConn struct{ statement.Conn }

func (closedConn) Close() {}

// A server that rejects a connection, or whose address belongs to another one of the group
// now, must not be taken for one that is not running.
func TestFormerServerThatAnswersIsNotGone(t *testing.T) {
	unreachable := errkind.New(errkind.Unreachable, "fake")
	other := errkind.New(errkind.WrongServer, "fake")
	for _, c := range []struct {
		name string
		d    addressDialer
		runs bool
	}{
		{"answers", addressDialer{}, true},
		{"rejects", addressDialer{"s": errkind.New(errkind.ConnectionLimit, "fake")}, true},
		{"unreachable", addressDialer{"s": unreachable}, false},
		{"another of the group", addressDialer{"s": other}, true},
		{"a server of another group", addressDialer{"s": other, "": other}, false},
		{"another one, unreachable", addressDialer{"s": other, "": unreachable}, false},
	} {
		e := newProcess(&growingStore{})
		e.platform.Dialer = c.d
		f := dispatch.FormerServer{ServerInfo: dispatch.ServerInfo{ID: "s", Address: "127.0.0.1:1"}}
		if got := e.isResponding(context.Background(), "g", f); got != c.runs {
			t.Errorf("%s: responding %v", c.name, got)
		}
	}
}
