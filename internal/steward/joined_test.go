package steward_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/steward"
	"chicoryline/platform"
)

// taskWithRefresh returns a task whose steward can read the servers again.
func (s *testbed) taskWithRefresh() steward.Task {
	t := s.task("")
	t.RefreshServers = func(context.Context) ([]steward.Server, error) { return s.task("").Servers, nil }
	return t
}

// join starts another replica.
func (s *testbed) join() *linegroup.Server {
	server, err := s.group.Add("north")
	if err != nil {
		s.t.Error(err)
		return nil
	}
	return server
}

// commitWithout commits a write that the server does not receive and requires its
// acknowledgement.
func (s *testbed) commitWithout(server string) {
	s.servers[server].SetReceiveBlocked(true)
	if !s.commit() {
		s.t.Error("not acknowledged")
	}
}

// other returns the initial replica that is not the given one.
func (s *testbed) other(server string) *linegroup.Server {
	for _, r := range s.group.Servers()[1:3] {
		if r.ID != server {
			return r
		}
	}
	return nil
}

// changePrimary runs attempts of the steward until a promotion that it ordered has taken effect.
func (s *testbed) changePrimary(h *hooks) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	st := s.newSteward("vm1", h)
	for end := time.Now().Add(waitLimit); len(s.group.Promoted()) == 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		st.Start(ctx, s.taskWithRefresh())
	}
	if len(s.group.Promoted()) == 0 {
		s.t.Error("no server was promoted")
	}
	for _, p := range s.group.Violations() {
		s.t.Error(p)
	}
}

// A server joined after the steward had paused the replicas, and the old primary acknowledged
// commits with it before the order.
func TestServerThatJoinsBeforeTheOrderIsConsidered(t *testing.T) {
	s := newTestbed(t, "1.231")
	var once sync.Once
	h := &hooks{}
	h.paused = func(server string) {
		once.Do(func() { s.join(); s.commitWithout(s.other(server).ID) })
	}
	s.changePrimary(h)
}

// testUnansweredOrder runs a primary change whose first order gets no answer. The event then
// lets the old primary commit without the server that the order names. The order is executed
// once a later one has been answered.
func testUnansweredOrder(s *testbed, event func(target string)) {
	var mu sync.Mutex
	orders := 0
	h := &hooks{}
	h.order = func(server, holder string, token uint64) error {
		mu.Lock()
		defer mu.Unlock()
		if orders++; orders == 1 {
			event(server)
			return errkind.New(errkind.PlatformUnknown, "no answer")
		}
		return platform.NewPromotionClient(s.Store.Address()).Promote(context.Background(), s.group.Name(), server, holder, token)
	}
	s.changePrimary(h)
}

// A server joined while an order had no answer, and the old primary acknowledged commits with
// it. The order was repeated for a server without them.
func TestServerThatJoinsDuringAnUnansweredOrderIsConsidered(t *testing.T) {
	s := newTestbed(t, "1.232")
	testUnansweredOrder(s, func(target string) { s.join(); s.commitWithout(target) })
}

// A replica restarted while an order had no answer, which ended its pause.
func TestReplicaThatRestartsDuringAnUnansweredOrderIsConsidered(t *testing.T) {
	s := newTestbed(t, "1.233")
	testUnansweredOrder(s, func(target string) {
		r := s.other(target)
		r.Crash()
		if err := r.Restart(); err != nil {
			t.Error(err)
		}
		s.commitWithout(target)
	})
}
