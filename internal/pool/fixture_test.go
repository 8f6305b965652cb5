package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/position"
	"chicoryline/internal/services"
	"chicoryline/internal/standin/dbinstance"
)

// fakeWatcher is a GroupWatcher with answers set by the test.
type fakeWatcher struct {
	primary      atomic.Pointer[string]
	readIndexErr error
	confirmErr   error
	confirmed    atomic.Int64
	age          atomic.Int64
	// rejectConfirm makes Confirm fail.
	rejectConfirm   atomic.Bool
	timeSinceAnswer atomic.Int64
	// blockConfirm, if set, blocks Confirm until it is closed.
	blockConfirm chan struct{}
}

func (w *fakeWatcher) setPrimary(id string) { w.primary.Store(&id) }
func (w *fakeWatcher) Primary() (string, uint64, bool) {
	id := *w.primary.Load()
	return id, 1, id != ""
}
func (w *fakeWatcher) ReadIndex(context.Context) (position.Position, error) {
	return position.Position{Term: 1, Offset: 1}, w.readIndexErr
}
func (w *fakeWatcher) Confirm(ctx context.Context, _ position.Position) error {
	w.confirmed.Add(1)
	if w.blockConfirm != nil {
		select {
		case <-w.blockConfirm:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if w.rejectConfirm.Load() {
		return errors.New("no majority")
	}
	return w.confirmErr
}
func (w *fakeWatcher) Log(string) position.Position     { return position.Position{} }
func (w *fakeWatcher) Age(string) (time.Duration, bool) { return time.Duration(w.age.Load()), true }
func (w *fakeWatcher) TimeSinceAnswer(string) time.Duration {
	return time.Duration(w.timeSinceAnswer.Load())
}

type noopObserver struct{}

func (noopObserver) PoolEvent(string, SessionID, string, string, string) {}

// fixture is a manager with one owner, for a stand-in instance.
type fixture struct {
	t             testing.TB // nil in the fault matrix
	server        *dbinstance.Server
	watcher       *fakeWatcher
	manager       *Manager
	owner         *Owner
	dial          func(context.Context, string, string) (net.Conn, error)
	sessionNumber atomic.Uint64
}

func newFixture(t testing.TB, slots int) *fixture {
	t.Helper()
	f, err := buildFixture(slots)
	if err != nil {
		t.Fatal(err)
	}
	f.t = t
	t.Cleanup(f.close)
	return f
}

func buildFixture(slots int) (*fixture, error) {
	return buildFixtureWithDial(slots, (&net.Dialer{}).DialContext)
}

// buildFixtureWithDial is buildFixture with the function that opens the owner's connections.
func buildFixtureWithDial(slots int, dial func(context.Context, string, string) (net.Conn, error)) (*fixture, error) {
	server, err := dbinstance.Start(dbinstance.Config{ID: "db1", Group: "g", Listen: "127.0.0.1:0", InitialPrimary: true, User: "u", Password: "p"})
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{server: server, watcher: &fakeWatcher{}, dial: dial}
	f.watcher.setPrimary("db1")
	f.manager = NewManager(logrus.NewEntry(log), noopObserver{})
	f.owner = f.newOwner(slots, 0)
	f.manager.SetOwner("db1", f.owner)
	_, err = f.execute(f.query("CREATE TABLE t (k bigint PRIMARY KEY, v text)"))
	return f, err
}

func (f *fixture) close() {
	f.manager.Close()
	f.server.Close()
}

// newOwner returns an owner of the instance; idle is the idle transaction timeout,
// or 0 for the default.
func (f *fixture) newOwner(slots int, idle time.Duration) *Owner {
	return NewOwner(OwnerConfig{
		Instance: services.Instance{ID: "db1", Address: f.server.Addr()}, Group: services.Group{Name: "g", Slots: slots},
		Watcher: f.watcher, Credentials: Credentials{User: "u", Password: "p", Database: "d", Application: "chicoryline/vm/domain1"},
		Dial: f.dial, Log: f.manager.log, IdleTransactionTimeout: idle,
	}, slots)
}

// query returns the request for a simple query in a new session.
func (f *fixture) query(sql string) *ExecuteArgs {
	data, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // the text is too long for a message
	}
	return &ExecuteArgs{
		Session: SessionID{VM: "vm", Number: f.sessionNumber.Add(1)}, Seq: 1, Group: "g", Instance: "db1", Customer: "c", Weight: 1,
		Write: true, MayCommit: true, Messages: data, QueueTimeout: 200 * time.Millisecond,
	}
}

func (f *fixture) execute(args *ExecuteArgs) (*ExecuteReply, error) {
	reply := &ExecuteReply{}
	err := f.manager.execute(context.Background(), args, reply)
	return reply, err
}

func (f *fixture) mustExecute(args *ExecuteArgs) *ExecuteReply {
	f.t.Helper()
	reply, err := f.execute(args)
	if err != nil {
		f.t.Fatal(err)
	}
	return reply
}

// continued returns the next request of the session's open transaction.
func (f *fixture) continued(args *ExecuteArgs, sql string) *ExecuteArgs {
	next := f.query(sql)
	next.Session, next.Seq, next.Continue = args.Session, args.Seq+1, true
	next.MayCommit = sql != "ROLLBACK"
	return next
}
