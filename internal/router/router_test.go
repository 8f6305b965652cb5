package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/services"
)

// fakePeers answers calls to one pool owner. Its mutex guards its fields.
type fakePeers struct {
	mu       sync.Mutex
	executed int
	aborted  chan pool.SessionID
	// fail, if set, is the error of the next Execute; ran is set if the request takes
	// effect before it fails.
	fail error
	ran  bool
	// alterReply, if not nil, modifies each answer.
	alterReply func(reply *pool.ExecuteReply)
}

func (p *fakePeers) Call(_ context.Context, _, method string, args, reply any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch method {
	case "Pool.View":
		*reply.(*pool.ViewReply) = pool.ViewReply{Primary: "db1", Term: 1}
	case "Pool.Abort":
		p.aborted <- args.(*pool.SessionArgs).Session
	case "Pool.Execute":
		return p.execute(args.(*pool.ExecuteArgs), reply.(*pool.ExecuteReply))
	case "Pool.Fetch":
		a := args.(*pool.FetchArgs)
		p.answer(a.Session, a.Seq, reply.(*pool.ExecuteReply))
	}
	return nil
}

func (p *fakePeers) execute(args *pool.ExecuteArgs, reply *pool.ExecuteReply) error {
	err := p.fail
	p.fail = nil
	if err == nil || p.ran {
		p.executed++
	}
	if err == nil {
		p.answer(args.Session, args.Seq, reply)
	}
	return err
}

func (p *fakePeers) answer(id pool.SessionID, seq uint64, reply *pool.ExecuteReply) {
	reply.Session, reply.Seq, reply.Status = id, seq, 'I'
	if p.alterReply != nil {
		p.alterReply(reply)
	}
}

type fakeTopology struct{}

func (fakeTopology) Group(name string) (services.Group, bool) {
	return services.Group{Name: name, Instances: []services.Instance{{ID: "db1"}}}, true
}
func (fakeTopology) Owners(services.Instance) []services.VM {
	return []services.VM{{ID: "owner", Address: "owner:1"}}
}
func (fakeTopology) Alive(string) context.Context { return context.Background() }

func newTestRouter(t *testing.T) (*Router, *fakePeers) {
	peers := &fakePeers{aborted: make(chan pool.SessionID, 64)}
	r := New(Config{Topology: fakeTopology{}, Liveness: fakeTopology{}, Peers: peers, RetryWindow: time.Minute, Rand: rand.New(rand.NewPCG(1, 2))})
	t.Cleanup(r.Close)
	return r, peers
}

var testPin = Pin{VM: "owner", Address: "owner:1", Instance: "db1", Primary: true}

func testRequest() *Request {
	return &Request{Session: pool.SessionID{VM: "vm", Number: 7}, Seq: 3, Group: "g", MayCommit: true, WriteAllowed: true}
}

// mismatches turn an answer into that of another request.
var mismatches = map[string]func(*pool.ExecuteReply){
	"another session":     func(r *pool.ExecuteReply) { r.Session.Number++ },
	"another VM":          func(r *pool.ExecuteReply) { r.Session.VM = "vm2" },
	"another incarnation": func(r *pool.ExecuteReply) { r.Session.Incarnation++ },
	"an earlier request":  func(r *pool.ExecuteReply) { r.Seq-- },
}

// TestMismatchedAnswerIsRejected delivers an answer that belongs to another request
// to each kind of call; the router must reject it with an unknown outcome. The naive
// variant accepts any answer, which isOwnAnswer must detect.
func TestMismatchedAnswerIsRejected(t *testing.T) {
	for name, alterReply := range mismatches {
		r, peers := newTestRouter(t)
		peers.alterReply = alterReply
		request := testRequest()
		if _, err := r.Execute(context.Background(), request); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("execute, %s: %v", name, err)
		}
		if _, err := r.Continue(context.Background(), testPin, request); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("continue, %s: %v", name, err)
		}
		if _, err := r.Fetch(context.Background(), testPin, pool.FetchArgs{Session: request.Session, Seq: request.Seq, Part: 1}); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Errorf("fetch, %s: %v", name, err)
		}
		var naive pool.ExecuteReply
		if err := peers.Call(context.Background(), "owner:1", "Pool.Execute", executeArgs(request, testPin, false), &naive); err != nil {
			t.Fatal(err)
		}
		if isOwnAnswer(request, &naive) {
			t.Errorf("naive variant, %s: the mismatch was not detected", name)
		}
		t.Logf("naive=accept_any_reply crossed=%q red: answer of %v/%d for %v/%d", name, naive.Session, naive.Seq, request.Session, request.Seq)
	}
}

// isOwnAnswer reports whether the reply names the request.
func isOwnAnswer(r *Request, reply *pool.ExecuteReply) bool {
	return reply.Session == r.Session && reply.Seq == r.Seq
}

// TestRetriesOnlyRequestsThatDidNotRun fails one call, counts how often the request takes
// effect and checks whether it is retried. A retry of a request that has run would apply
// its changes twice.
func TestRetriesOnlyRequestsThatDidNotRun(t *testing.T) {
	for _, c := range []struct {
		kind  errkind.Kind
		ran   bool
		again bool
	}{
		{errkind.Unreachable, false, true},
		{errkind.NotEligible, false, true},
		{errkind.NoPrimary, false, true},
		{errkind.ShuttingDown, false, true},
		{errkind.QueueFull, false, false},
		{errkind.Canceled, false, false},
		{errkind.OutcomeUnknown, true, false},
		{errkind.OutcomeUnknown, false, false},
		{errkind.AnswerIncomplete, true, false},
		{errkind.TransactionLost, true, false},
	} {
		r, peers := newTestRouter(t)
		peers.fail, peers.ran = errkind.New(c.kind, "fault"), c.ran
		_, err := r.Execute(context.Background(), testRequest())
		want := 0
		if c.ran || c.again {
			want = 1
		}
		peers.mu.Lock()
		got := peers.executed
		peers.mu.Unlock()
		if got != want || (err == nil) != c.again {
			t.Errorf("%s ran %t: took effect %d times, %v; want %d, retried %t", c.kind, c.ran, got, err, want, c.again)
		}
	}
}

// TestLostAnswerAbortsTransaction loses answers inside a transaction: the router must make
// the owner abort the transaction, and the error kind must match what is known about the
// outcome.
func TestLostAnswerAbortsTransaction(t *testing.T) {
	for _, c := range []struct {
		mayCommit, readOnly bool
		want                errkind.Kind
	}{{false, false, errkind.TransactionLost}, {true, false, errkind.OutcomeUnknown}, {true, true, errkind.AnswerIncomplete}} {
		r, peers := newTestRouter(t)
		peers.fail, peers.ran = errkind.New(errkind.OutcomeUnknown, "fault"), true
		request := testRequest()
		request.MayCommit, request.ReadOnly = c.mayCommit, c.readOnly
		if _, err := r.Continue(context.Background(), testPin, request); !errkind.Is(err, c.want) {
			t.Errorf("%+v: %v", c, err)
		}
		if got := <-peers.aborted; got != request.Session {
			t.Errorf("aborted %v", got)
		}
	}
}

// TestQueueTimeoutIsSentToOwner checks that the operator's admission deadline is passed
// to the pool owner, outside and inside of a transaction.
func TestQueueTimeoutIsSentToOwner(t *testing.T) {
	request := &Request{Group: "g", QueueTimeout: 123 * time.Millisecond}
	for _, inside := range []bool{false, true} {
		if got := executeArgs(request, Pin{}, inside).QueueTimeout; got != request.QueueTimeout {
			t.Errorf("inside %t: %s, want %s", inside, got, request.QueueTimeout)
		}
	}
}
