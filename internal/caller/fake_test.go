package caller

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
	"chicoryline/internal/router"
)

const (
	bulkParts = 3
	customer  = "c1"
	key       = "key-of-c1-0001"
)

// fakeFault is the failure of the fake router's next request.
type fakeFault struct {
	// kind is the error kind for a request outside of a transaction.
	kind errkind.Kind
	// kindInTx is the error kind for a request inside an open transaction.
	kindInTx errkind.Kind
	// executed means that the request takes effect and only its answer is lost.
	executed bool
	// keepsTx means that an open transaction stays open.
	keepsTx bool
}

// fakeRouter implements Router with one table. Its requests can be blocked and made to fail.
type fakeRouter struct {
	mu       sync.Mutex
	rows     int
	openTxs  map[pool.SessionID]*fakeTx
	executed int
	// lastStatus is the transaction status after the last request.
	lastStatus  byte
	fault       *fakeFault
	requestHold chan struct{}
	// fetchHold blocks Fetch until it is closed.
	fetchHold chan struct{}
}

type fakeTx struct {
	rows   int
	failed bool
}

func newFakeRouter() *fakeRouter {
	return &fakeRouter{openTxs: map[pool.SessionID]*fakeTx{}, lastStatus: 'I'}
}

func (f *fakeRouter) Execute(_ context.Context, r *router.Request) (*router.Result, error) {
	return f.run(r, false)
}

func (f *fakeRouter) Continue(_ context.Context, _ router.Pin, r *router.Request) (*router.Result, error) {
	return f.run(r, true)
}

func (f *fakeRouter) waitForRelease() {
	f.mu.Lock()
	hold := f.requestHold
	f.mu.Unlock()
	if hold != nil {
		<-hold
	}
}

func (f *fakeRouter) run(r *router.Request, inTx bool) (*router.Result, error) {
	f.waitForRelease()
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.lastStatus = f.status(r.Session) }()
	fault := f.fault
	f.fault = nil
	if fault != nil && !fault.executed {
		return nil, f.fail(r.Session, fault, inTx)
	}
	if _, open := f.openTxs[r.Session]; inTx && !open {
		return nil, errkind.New(errkind.TransactionLost, "no open transaction")
	}
	f.executed++
	result := &router.Result{Pin: router.Pin{VM: "owner", Instance: "db1", Primary: true}}
	result.Session, result.Seq = r.Session, r.Seq
	f.apply(r, result)
	if fault != nil {
		return nil, f.fail(r.Session, fault, inTx)
	}
	return result, nil
}

func (f *fakeRouter) fail(id pool.SessionID, fault *fakeFault, inTx bool) error {
	if !fault.keepsTx {
		delete(f.openTxs, id)
	}
	if inTx {
		return errkind.New(fault.kindInTx, "fault")
	}
	return errkind.New(fault.kind, "fault")
}

// apply executes the single statement of the request.
func (f *fakeRouter) apply(r *router.Request, result *router.Result) {
	var m pgproto3.Query
	_ = m.Decode(r.Messages[5:])
	tx := f.openTxs[r.Session]
	word, _, _ := strings.Cut(m.String, " ")
	switch {
	case word == "BEGIN":
		f.openTxs[r.Session] = &fakeTx{}
	case word == "COMMIT" && !tx.failed:
		f.rows += tx.rows
		result.Committed, result.Position = true, position.Position{Term: 1, Offset: uint64(f.rows)}
		delete(f.openTxs, r.Session)
	case word == "COMMIT" || word == "ROLLBACK":
		delete(f.openTxs, r.Session)
	case word == "FAIL":
		tx.failed = true
		result.Answer, _ = (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601"}).Encode(nil)
		result.Status = 'E'
		return
	case word == "INSERT" && tx != nil:
		tx.rows++
	case word == "INSERT":
		f.rows++
		result.Committed, result.Position = true, position.Position{Term: 1, Offset: uint64(f.rows)}
	case m.String == "SELECT big":
		result.Answer, result.More = part(0), true
		return
	default:
		result.Answer, _ = (&pgproto3.DataRow{Values: [][]byte{[]byte(m.String)}}).Encode(nil)
	}
	result.Answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte(word)}).Encode(result.Answer)
	result.Status = f.status(r.Session)
}

func (f *fakeRouter) status(id pool.SessionID) byte {
	tx, open := f.openTxs[id]
	switch {
	case !open:
		return 'I'
	case tx.failed:
		return 'E'
	}
	return 'T'
}

func part(i int) []byte {
	data, _ := (&pgproto3.DataRow{Values: [][]byte{fmt.Appendf(nil, "part %d", i)}}).Encode(nil)
	return data
}

func (f *fakeRouter) Fetch(_ context.Context, _ router.Pin, args pool.FetchArgs) (*pool.ExecuteReply, error) {
	f.mu.Lock()
	hold := f.fetchHold
	f.mu.Unlock()
	if hold != nil {
		<-hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault := f.fault; fault != nil {
		f.fault = nil
		return nil, f.fail(args.Session, &fakeFault{kind: errkind.AnswerIncomplete}, false)
	}
	reply := &pool.ExecuteReply{Session: args.Session, Seq: args.Seq, Answer: part(args.Part), More: args.Part < bulkParts-1}
	if !reply.More {
		reply.Answer, _ = (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 3")}).Encode(reply.Answer)
		reply.Status = f.status(args.Session)
	}
	return reply, nil
}

func (f *fakeRouter) Abort(_ router.Pin, id pool.SessionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openTxs, id)
}

func (f *fakeRouter) Cancel(context.Context, router.Pin, pool.SessionID) error { return nil }

// injectFault sets the fault of the next request, or of the one that is blocked.
func (f *fakeRouter) injectFault(fault fakeFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = &fault
}

// holdRequests blocks requests until the returned function is called.
func (f *fakeRouter) holdRequests() func() {
	hold := make(chan struct{})
	f.mu.Lock()
	f.requestHold = hold
	f.mu.Unlock()
	return func() {
		f.mu.Lock()
		f.requestHold = nil
		f.mu.Unlock()
		close(hold)
	}
}

// holdFetches blocks Fetch until the returned function is called.
func (f *fakeRouter) holdFetches() func() {
	hold := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetchHold = hold
	return func() { close(hold) }
}

// counts returns the numbers of rows, open transactions and executed requests.
func (f *fakeRouter) counts() (rows, open, executed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows, len(f.openTxs), f.executed
}

// fakeAccess implements Access with one key, which is accepted until err is set.
type fakeAccess struct {
	// route is unique to each test cell, because a later cell may listen on the same port.
	route string

	mu  sync.Mutex
	err error
	// checkAtConnectOnly is a naive variant that checks the key only at login.
	checkAtConnectOnly bool
}

func (a *fakeAccess) setError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

func (a *fakeAccess) Authorize(_, presentedKey, route string) (catalog.Customer, catalog.Route, error) {
	if route != a.route {
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.UnknownRoute, "")
	}
	if presentedKey != key {
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.Unauthorized, "")
	}
	return a.AuthorizeKey(customer, "k", route)
}

func (a *fakeAccess) MatchKey(string, string) (catalog.KeyRef, bool) { return "k", true }

func (a *fakeAccess) AuthorizeKey(string, catalog.KeyRef, string) (catalog.Customer, catalog.Route, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil && !a.checkAtConnectOnly {
		return catalog.Customer{}, catalog.Route{}, a.err
	}
	return catalog.Customer{Name: customer, Weight: 1}, catalog.Route{Name: a.route, Group: "g", Mode: catalog.ReadSession}, nil
}

func (a *fakeAccess) Sealer() *position.Sealer {
	return position.NewSealer(bytes.Repeat([]byte("s"), 32), nil)
}

// fakeLimiter implements Limiter. It admits each request unless refuse holds an error.
type fakeLimiter struct{ refuse chan error }

func (l *fakeLimiter) AdmitWait(context.Context, string, float64) error {
	select {
	case err := <-l.refuse:
		return err
	default:
		return nil
	}
}

type discardObserver struct{}

func (discardObserver) Request(string, string, bool, bool, time.Duration, error) {}
func (discardObserver) CallerEvent(string, string, string, string)               {}
