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

// patience bounds the wait for what has to come about; no assertion rests on it.
const patience = 30 * time.Second

// stand is a group of stand-ins whose primary is dark to stewards and goes on: its
// callers are on the other side of a cut.
type stand struct {
	*world.World
	t       *testing.T
	group   *linegroup.Group
	old     *linegroup.Server
	servers map[string]*linegroup.Server
	next    int
}

func newStand(t *testing.T, network string) *stand {
	t.Helper()
	w, err := world.New(world.Options{
		Groups: 1, Domains: []string{"north"}, Network: network, MaxConnections: 34, PromoteTime: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	s := &stand{World: w, t: t, group: w.Groups[0], servers: map[string]*linegroup.Server{}}
	for _, server := range s.group.Servers() {
		s.servers[server.ID] = server
	}
	s.old = s.group.Primary()
	s.commit()
	s.old.Silence(true)
	return s
}

// commit commits one write; it reports whether it was acknowledged.
func (s *stand) commit() bool {
	s.next++
	id := fmt.Sprint("w", s.next)
	return s.group.Commit(linegroup.Write{ID: id, Item: id, Data: id})
}

func (s *stand) task(leaving string) steward.Task {
	t := steward.Task{
		Group: s.group.Name(), Primary: s.old.ID, Reason: steward.Silent,
		Answered: func() {}, Done: func(string) {},
	}
	for _, server := range s.group.Servers() {
		t.Servers = append(t.Servers, steward.Server{ID: server.ID, Address: server.Address, Leaving: server.ID == leaving})
	}
	return t
}

// hooks stand before the calls of one steward.
type hooks struct {
	steward.Control
	steward.Promoter
	dialer platform.BackendDialer
	ids    sync.Map // of servers by connection
	// status, pause and resume are told the server; an error ends the call.
	status, pause func(server string) error
	resumed       func()
	promote       func(server string)
}

func (h *hooks) Dial(ctx context.Context, address, group, server, customer string) (statement.Conn, error) {
	c, err := h.dialer.Dial(ctx, address, group, server, customer)
	if err == nil {
		h.ids.Store(c, server)
	}
	return c, err
}

func (h *hooks) before(hook func(string) error, c statement.Conn) error {
	if hook == nil {
		return nil
	}
	id, _ := h.ids.Load(c)
	return hook(id.(string))
}

func (h *hooks) Status(c statement.Conn, wait time.Duration) (statement.ServerStatus, error) {
	if err := h.before(h.status, c); err != nil {
		return statement.ServerStatus{}, err
	}
	return h.Control.Status(c, wait)
}

func (h *hooks) Pause(c statement.Conn, term uint64, wait time.Duration) (statement.ServerStatus, error) {
	if err := h.before(h.pause, c); err != nil {
		return statement.ServerStatus{}, err
	}
	return h.Control.Pause(c, term, wait)
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
	return h.Promoter.Promote(ctx, group, server, holder, token)
}

func (s *stand) steward(vm string, h *hooks) *steward.Steward {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.Control, h.Promoter = platform.BackendTexts{}, platform.NewPromotionClient(s.Store.Address())
	return steward.New(steward.Config{
		VM: vm, Store: platform.NewStore(s.Store.Address()), Dialer: h, Control: h, Promoter: h, Log: logrus.NewEntry(log),
	})
}

// order carries out an order of an earlier steward and waits until its server leads.
func (s *stand) order(server, holder string, token uint64) {
	body, err := json.Marshal(map[string]string{"service": s.group.Name(), "id": server})
	if err != nil {
		panic(err) // the map holds only texts
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
	s.awaitLead(server)
}

// awaitLead waits until the server has been promoted, or the first primary was ordered to
// go on and does.
func (s *stand) awaitLead(server string) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		promoted := s.group.Promoted()
		if slices.Contains(promoted, server) || len(promoted) == 0 && server == s.old.ID {
			return
		}
	}
	s.t.Errorf("%s did not come to lead", server)
}

// judge waits until one of the replicas leads by a steward's order, and names what was
// lost.
func (s *stand) judge(ordered <-chan string) {
	s.t.Helper()
	select {
	case target := <-ordered:
		s.awaitLead(target)
	case <-time.After(patience):
		s.t.Error("nothing was ordered")
	}
	for _, p := range s.group.Problems() {
		s.t.Error(p)
	}
}

// A steward stood still after a pause. It let the replica receive again that the next
// steward had paused for its order.
func TestReplicaIsResumedByAStewardThatStoodStill(t *testing.T) {
	s := newStand(t, "1.251")
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
		s.commit() // received by both replicas: the target's status is behind now
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
		return errkind.New(errkind.Unreachable, "connection was dropped")
	}
	s.steward("vm1", first).Start(ctx, s.task(""))
	select {
	case <-still:
	case <-time.After(patience):
		t.Fatal("the first steward paused nothing")
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
				t.Errorf("%s was ordered to lead, which lacks a commit", p)
			}
			s.servers[target].Deafen(true)
			close(release)
			select {
			case <-resumed:
			case <-time.After(time.Second):
			}
			s.commit()
		})
		ordered <- target
	}
	other := s.steward("vm2", second)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			other.Start(ctx, s.task(""))
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.judge(ordered)
}

// duringLateOrder runs a change of primary after one that left an order for a replica,
// now leaving, without an answer. The order is carried out at the first pause or, at the
// latest, before the next order; the replica that leads by it commits from then on, with
// a server other than the one ordered to lead, which is deaf.
func duringLateOrder(s *stand, reason steward.Reason, beforePause bool) {
	const token = 4
	late, other := s.group.Servers()[1], s.group.Servers()[2]
	row := fmt.Sprintf(`{"holder":"vm1","token":%d,"active":true,"target":%q}`, token, late.ID)
	s.Store.Put(steward.Table, s.group.Name(), []byte(row))
	var carried, committed sync.Once
	carryOut := func(target string) {
		carried.Do(func() {
			if target != late.ID {
				s.servers[target].Deafen(true)
			}
			s.order(late.ID, "vm1", token)
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
			s.commit() // a steward may see to it that none is acknowledged
			go func() {
				for ctx.Err() == nil {
					time.Sleep(time.Millisecond)
					s.commit()
				}
			}()
		})
		ordered <- target
	}
	st := s.steward("vm1", h)
	go func() {
		for len(ordered) == 0 && ctx.Err() == nil {
			t := s.task(late.ID)
			t.Reason = reason
			st.Start(ctx, t)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	s.judge(ordered)
}

// The order for another replica than the one chosen was carried out just before.
func TestLateOrderIsCarriedOutDuringAnotherChange(t *testing.T) {
	duringLateOrder(newStand(t, "1.252"), steward.Silent, false)
}

// A PAUSE that changes nothing is answered with the row, and was taken for a pause of a
// server that leads by now.
func TestRefusedPauseIsTakenForAPause(t *testing.T) {
	duringLateOrder(newStand(t, "1.253"), steward.Silent, true)
}

// The same while the primary is in reach: it has lost the lead when the next order comes.
func TestLateOrderReplacesAPrimaryThatIsInReach(t *testing.T) {
	s := newStand(t, "1.254")
	s.old.Silence(false)
	duringLateOrder(s, steward.Leaving, false)
}
