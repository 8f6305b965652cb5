package steward_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/world"
	"chicoryline/internal/statement"
	"chicoryline/internal/steward"
	"chicoryline/platform"
)

// waitLimit bounds the wait for expected events. No assertion depends on its value.
const waitLimit = 30 * time.Second

// testbed is a simulated group whose primary is unreachable for stewards and continues to
// serve: its callers are on its side of a network partition.
type testbed struct {
	*world.World
	t          *testing.T
	group      *linegroup.Group
	oldPrimary *linegroup.Server
	servers    map[string]*linegroup.Server
	writes     int
}

func newTestbed(t *testing.T, network string) *testbed {
	t.Helper()
	return newTestbedWithDelay(t, network, 50*time.Millisecond)
}

// newTestbedWithDelay is newTestbed with the time from an order to its effect.
func newTestbedWithDelay(t *testing.T, network string, promotionDelay time.Duration) *testbed {
	t.Helper()
	w, err := world.New(world.Options{
		Groups: 1, Domains: []string{"north"}, Network: network, MaxConnections: 34, PromotionDelay: promotionDelay,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	s := &testbed{World: w, t: t, group: w.Groups[0], servers: map[string]*linegroup.Server{}}
	for _, server := range s.group.Servers() {
		s.servers[server.ID] = server
	}
	s.oldPrimary = s.group.Primary()
	s.commit()
	s.oldPrimary.SetUnresponsive(true)
	return s
}

// commit commits one write and reports whether it was acknowledged.
func (s *testbed) commit() bool {
	s.writes++
	id := fmt.Sprint("w", s.writes)
	return s.group.Commit(linegroup.Write{ID: id, Item: id, Data: id})
}

func (s *testbed) task(leaving string) steward.Task {
	t := steward.Task{
		Group: s.group.Name(), Primary: s.oldPrimary.ID, Reason: steward.Silent,
		OnPrimaryAnswered: func() {}, OnPromoted: func(string) {},
	}
	for _, server := range s.group.Servers() {
		t.Servers = append(t.Servers, steward.Server{ID: server.ID, Address: server.Address, Leaving: server.ID == leaving})
	}
	return t
}

// hooks intercepts the calls of one steward.
type hooks struct {
	steward.Control
	steward.Promoter
	dialer platform.BackendDialer
	ids    sync.Map // server IDs by connection
	// status and pause are called with the server before the statement, which is not run if
	// they fail. paused is called after a pause, resumed after a resume, promote before an
	// order. order is called instead of the promoter.
	status, pause func(server string) error
	paused        func(server string)
	resumed       func()
	promote       func(server string)
	order         func(server, holder string, token uint64) error
	leaderLease   time.Duration
}

func (h *hooks) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	c, err := h.dialer.Dial(ctx, address, group, server, customer)
	if err == nil {
		h.ids.Store(c, server)
	}
	return c, err
}

func (h *hooks) runHook(hook func(string) error, c statement.Conn) error {
	if hook == nil {
		return nil
	}
	id, _ := h.ids.Load(c)
	return hook(id.(string))
}

func (h *hooks) Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
	if err := h.runHook(h.status, c); err != nil {
		return statement.ServerStatus{}, err
	}
	return h.Control.Status(c, wait)
}

func (h *hooks) Pause(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error) {
	if err := h.runHook(h.pause, c); err != nil {
		return statement.ServerStatus{}, err
	}
	status, err := h.Control.Pause(c, term, wait)
	if h.paused != nil && err == nil {
		id, _ := h.ids.Load(c)
		h.paused(id.(string))
	}
	return status, err
}

func (h *hooks) Resume(c statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
	status, err := h.Control.Resume(c, wait)
	if h.resumed != nil {
		h.resumed()
	}
	return status, err
}

func (h *hooks) Promote(ctx context.Context, group, server, holder string, token uint64) error {
	if h.promote != nil {
		h.promote(server)
	}
	if h.order != nil {
		return h.order(server, holder, token)
	}
	return h.Promoter.Promote(ctx, group, server, holder, token)
}

func (s *testbed) newSteward(vm string, h *hooks) *steward.Steward {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.Control, h.Promoter = platform.BackendTexts{}, platform.NewPromotionClient(s.Store.Address())
	return steward.New(steward.Config{
		VM: vm, Store: platform.NewStore(s.Store.Address()), Dialer: h, Control: h, Promoter: h, LeaderLease: h.leaderLease, Log: logrus.NewEntry(log),
	})
}

// executeOrder executes an order of an earlier steward and waits for the promotion.
func (s *testbed) executeOrder(server, holder string, token uint64) {
	body, err := json.Marshal(map[string]string{"service": s.group.Name(), "id": server})
	if err != nil {
		panic(err) // the map holds only strings
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Store.Address()+"/promote", bytes.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	r.Header.Set("Lease-Holder", holder)
	r.Header.Set("Fencing-Token", fmt.Sprint(token))
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Error(err)
		return
	}
	answer.Body.Close()
	s.awaitPromotion(server)
}

// awaitPromotion waits until the server has been promoted. The initial primary needs no
// promotion if no other server was promoted.
func (s *testbed) awaitPromotion(server string) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		promoted := s.group.Promoted()
		if slices.Contains(promoted, server) || len(promoted) == 0 && server == s.oldPrimary.ID {
			return
		}
	}
	s.t.Errorf("%s was not promoted", server)
}

// checkPromotion waits until the promotion that a steward ordered has taken effect, and
// reports lost commits.
func (s *testbed) checkPromotion(ordered <-chan string) {
	s.t.Helper()
	select {
	case target := <-ordered:
		s.awaitPromotion(target)
	case <-time.After(waitLimit):
		s.t.Error("nothing was ordered")
	}
	for _, p := range s.group.Violations() {
		s.t.Error(p)
	}
}

// A steward stalled after it had paused a replica. It then resumed the replica that the next
// steward had paused for its promotion order.
func TestStalledStewardResumesNoReplica(t *testing.T) {
	s := newTestbed(t, "1.251")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	paused, release, resumed := make(chan string, 10), make(chan struct{}), make(chan struct{}, 10)
	still := make(chan struct{}, 10)
	var mu sync.Mutex
	pausing := ""
	first := &hooks{resumed: func() { resumed <- struct{}{} }}
	first.pause = func(server string) error {
		mu.Lock()
		defer mu.Unlock()
		pausing = server
		s.commit() // received by both replicas, so the known status of the target is stale
		return nil
	}
	first.status = func(server string) error {
		mu.Lock()
		at := pausing
		mu.Unlock()
		if at == "" {
			return nil
		}
		paused <- at
		still <- struct{}{}
		<-release
		return errkind.New(errkind.Unreachable, "connection lost")
	}
	s.newSteward("vm1", first).Start(ctx, s.task(""))
	select {
	case <-still:
	case <-time.After(waitLimit):
		t.Fatal("the first steward sent no pause")
	}
	if !s.commit() { // the target of the second steward is the other replica
		t.Fatal("not acknowledged")
	}

	ordered := make(chan string, 10)
	var once sync.Once
	second := &hooks{}
	second.promote = func(target string) {
		once.Do(func() {
			if p := <-paused; p == target {
				t.Errorf("promotion of %s was ordered, which lacks a commit", p)
			}
			s.servers[target].SetReceiveBlocked(true)
			close(release)
			select {
			case <-resumed:
			case <-time.After(time.Second):
			}
			s.commit()
		})
		ordered <- target
	}
	other := s.newSteward("vm2", second)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			other.Start(ctx, s.task(""))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.checkPromotion(ordered)
}

// testLateOrder runs a primary change after an earlier one whose order, for a replica that is
// leaving now, was not answered. With beforePause that order is executed just before the first
// pause, otherwise just before the next order. Another replica stops receiving before that: the
// third server with beforePause, otherwise the target of the next order if it is a different
// one. From the next order on the primary commits continuously.
func testLateOrder(s *testbed, reason steward.Reason, beforePause bool) {
	const token = 4
	late, other := s.group.Servers()[1], s.group.Servers()[2]
	row := fmt.Sprintf(`{"holder":"vm1","token":%d,"active":true,"target":%q}`, token, late.ID)
	s.Store.Put(steward.Table, s.group.Name(), []byte(row))
	var carried, committed sync.Once
	carryOut := func(target string) {
		carried.Do(func() {
			if target != late.ID {
				s.servers[target].SetReceiveBlocked(true)
			}
			s.executeOrder(late.ID, "vm1", token)
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &hooks{}
	ordered := make(chan string, 10)
	if beforePause {
		h.pause = func(string) error { carryOut(other.ID); return nil }
	}
	h.promote = func(target string) {
		carryOut(target)
		committed.Do(func() {
			s.commit() // may fail: a steward may prevent acknowledgements
			go func() {
				for ctx.Err() == nil {
					time.Sleep(time.Millisecond)
					s.commit()
				}
			}()
		})
		ordered <- target
	}
	st := s.newSteward("vm1", h)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			t := s.task(late.ID)
			t.Reason = reason
			st.Start(ctx, t)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.checkPromotion(ordered)
}

// An earlier order for a replica other than the target is executed just before the new order.
func TestLateOrderIsCarriedOutDuringAnotherChange(t *testing.T) {
	testLateOrder(newTestbed(t, "1.252"), steward.Silent, false)
}

// A PAUSE without effect is answered with the server's status. The answer was taken for a
// successful pause of a server that had become primary.
func TestRefusedPauseIsNotTakenForAPause(t *testing.T) {
	testLateOrder(newTestbed(t, "1.253"), steward.Silent, true)
}

// The primary is reachable, and an earlier order replaces it before the next order is sent.
func TestLateOrderReplacesAReachablePrimary(t *testing.T) {
	s := newTestbed(t, "1.254")
	s.oldPrimary.SetUnresponsive(false)
	testLateOrder(s, steward.Leaving, false)
}
