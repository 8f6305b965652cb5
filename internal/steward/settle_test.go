package steward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/statement"
)

// storeWithUnfinishedChange is a store whose row tells of a change that another steward has left.
func storeWithUnfinishedChange(target string) *fakeStore {
	store := newFakeStore()
	value := `{"holder":"vm1","token":4,"active":true,"target":"` + target + `"}`
	store.rows["g"] = coord.Row{Table: Table, Key: "g", Value: []byte(value), Version: 1}
	store.version = 1
	return store
}

// A replica that a steward had left paused was out of reach when the change was brought to
// an end: the row was closed, and nobody resumed the replica.
func TestChangeIsUnfinishedWhileAReplicaThatMayBePausedIsOutOfReach(t *testing.T) {
	store := storeWithUnfinishedChange("")
	g := &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 9}, primary: "a", down: map[string]bool{"b": true}}
	s := newSteward("vm1", store, g)
	_, err := runAttempt(s, Unfinished, 9, serversWithIDs("a", "b", "c")...)
	r, _, readErr := s.readRow(context.Background(), "g")
	if readErr != nil || !r.Active {
		t.Errorf("row %+v (%v), attempt %v: b may still be paused", r, readErr, err)
	}
}

// The primary leaves, and its replicas were left paused: only stuck commits healed them.
func TestPausedReplicasAreResumedBeforeALeavingPrimaryIsGivenUp(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 99, "b": 50, "c": 50}, primary: "a", catchUp: true}
	s := newSteward("vm1", newFakeStore(), g)
	var err error
	done := ""
	for range 3 {
		if done, err = runAttempt(s, Leaving, 99, serversWithIDs("a", "b", "c")...); done != "" {
			break
		}
	}
	if done == "" || done == "a" {
		t.Errorf("%q leads after three attempts, %v; events %v", done, err, g.history())
	}
}

// A late order for a replica that is out of reach, beside a primary that is well: all other
// replicas stay paused, so that no commit is answered.
func TestPrimaryKeepsAReplicaWhileAnOrderCannotBeFenced(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 9, "b": 7, "c": 7}, primary: "a", down: map[string]bool{"b": true}, catchUp: true}
	s := newSteward("vm1", storeWithUnfinishedChange("b"), g)
	for range 3 {
		_, err := runAttempt(s, CommitStuck, 9, serversWithIDs("a", "b", "c")...)
		t.Log(err)
	}
	if diff := cmp.Diff(uint64(9), g.received["c"]); diff != "" {
		t.Errorf("c receives nothing and the primary is well: %s; events %v", diff, g.history())
	}
}

// The primary had stepped down, and the platform refused the order as the target had
// crashed: the group had no primary, though the one that stepped down has all commits.
func TestSteppedDownPrimaryIsPromotedAgainAfterARefusedOrder(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7}, primary: "a", answers: []error{errkind.New(errkind.Fenced, "not running")}}
	s := newSteward("vm1", newFakeStore(), g)
	_, err := runAttempt(s, Leaving, 7, serversWithIDs("a", "b")...)
	g.down = map[string]bool{"b": true}
	for range 3 { // as supervise goes on
		if g.currentPrimary() != "" {
			return
		}
		_, err = runAttempt(s, Missing, 7, serversWithIDs("a", "b")...)
	}
	t.Errorf("no server leads, and a is in reach with all commits: %v; events %v", err, g.history())
}

// A replica that left long ago was gone while its failure domain was in touch. During a
// later cut of the domain it counted as one that may run.
func TestGoneServerStaysGoneDuringAPartition(t *testing.T) {
	heard := true
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7}, down: map[string]bool{"a": true, "c": true}}
	s := newSteward("vm1", newFakeStore(), g)
	c := Server{ID: "c", Missing: time.Hour, ConfirmedGone: true, Position: position.Position{Term: 1, Offset: 5}}
	attempt := func(primary string) (done string, err error) {
		err = s.run(context.Background(), Task{
			Group: "g", Primary: primary, Reason: Silent,
			Servers:                []Server{{ID: "a"}, {ID: "b"}, c},
			IsDomainReachable:      func(Server, boottime.Time) bool { return heard },
			IsAcknowledgedComplete: func() bool { return true },
			Acknowledged:           func() position.Position { return position.Position{Term: 1, Offset: 7} },
			OnPrimaryAnswered:      func() {}, OnPromoted: func(server string) { done = server },
		}, s.cfg.Log)
		return done, err
	}
	if done, err := attempt("a"); done != "b" {
		t.Fatalf("%q, %v", done, err)
	}
	heard = false // c's domain is cut off with b; a has returned
	g.down = map[string]bool{"b": true, "c": true}
	g.losePrimary()
	if done, err := attempt("b"); done != "a" {
		t.Errorf("%q leads: %v", done, err)
	}
}

// fullDialer refuses connections to a server that has as many as it takes.
type fullDialer struct {
	*fakeGroup
	full string
}

func (d fullDialer) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	if server == d.full {
		return nil, errkind.New(errkind.ConnectionLimit, "fake")
	}
	return d.fakeGroup.Dial(ctx, address, group, server, customer)
}

// A primary whose connections are all taken answers: it was replaced without stepping down.
func TestPrimaryWithoutAFreeConnectionIsNotSilent(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7, "c": 7}, primary: "a"}
	s := newSteward("vm1", newFakeStore(), g)
	s.cfg.Dialer = fullDialer{g, "a"}
	if done, err := runAttempt(s, Silent, 7, serversWithIDs("a", "b", "c")...); done != "" {
		t.Errorf("%q was promoted beside a primary that answers: %v; events %v", done, err, g.history())
	}
}

// failOnceDialer reaches a server from its second connection on.
type failOnceDialer struct {
	*fakeGroup
	late  string
	tries *atomic.Int32
}

func (d failOnceDialer) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	if server == d.late && d.tries.Add(1) == 1 {
		return nil, errkind.New(errkind.Unreachable, "fake")
	}
	return d.fakeGroup.Dial(ctx, address, group, server, customer)
}

// A cut ended between the probe of the primary and the order: the primary was well and in
// reach, was not asked again, and was replaced without stepping down (play trouble-1
// --seed 46 at 39.8 s, group dale90c: 1/250 known as acknowledged, 1/296 received).
func TestPrimaryReachableAfterTheProbeIsProbedAgain(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"a": 7, "b": 7, "c": 7}, primary: "a"}
	s := newSteward("vm1", newFakeStore(), g)
	s.cfg.Dialer = failOnceDialer{g, "a", new(atomic.Int32)}
	done, err := runAttempt(s, Silent, 7, serversWithIDs("a", "b", "c")...)
	if done != "" && (len(g.history()) == 0 || g.history()[0] != "step down a at 2") {
		t.Errorf("%q was promoted beside a primary in reach: %v; events %v", done, err, g.history())
	}
}

// reusedAddressDialer reaches another server of the group at the address of one that is gone.
type reusedAddressDialer struct {
	*fakeGroup
	gone, now string
}

func (d reusedAddressDialer) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	switch server {
	case d.gone:
		return nil, errkind.New(errkind.WrongServer, "fake")
	case "":
		return d.fakeGroup.Dial(ctx, address, group, d.now, customer)
	}
	return d.fakeGroup.Dial(ctx, address, group, server, customer)
}

// A server that started at the address of a crashed primary was taken for the primary, and
// nobody replaced it.
func TestServerAtTheAddressOfTheSilentPrimaryIsNotThePrimary(t *testing.T) {
	g := &fakeGroup{received: map[string]uint64{"b": 7, "c": 7, "a2": 6}}
	s := newSteward("vm1", newFakeStore(), g)
	s.cfg.Dialer = reusedAddressDialer{g, "a", "a2"}
	if done, err := runAttempt(s, Silent, 7, serversWithIDs("a", "b", "c")...); done == "" || done == "a" {
		t.Errorf("%q, %v", done, err)
	}
}
