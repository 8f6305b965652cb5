package caller

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/position"
	"chicoryline/internal/router"
)

const (
	fuzzCustomer = "kremstal"
	fuzzKey      = "a-key-of-kremstal"
	fuzzRoute    = "orders"
	fuzzOpen     = "public"
	// fuzzMaxMessage bounds one message, in bytes, so that inputs can pass it.
	fuzzMaxMessage = 1 << 10
	// fuzzMaxInput bounds an input, in bytes.
	fuzzMaxInput = 1 << 16
	// fuzzLimit bounds one input; a server that takes longer hangs.
	fuzzLimit = 60 * time.Second
)

// fuzzWorld stands for everything behind a caller's connection. The mutex
// guards all fields.
type fuzzWorld struct {
	mu sync.Mutex
	// logins, admitted and requests count what came through.
	logins, admitted, requests int
	// open tells that the router holds an open transaction.
	open bool
}

// Authorize implements Access.
func (w *fuzzWorld) Authorize(customer, key, route string) (catalog.Customer, catalog.Route, error) {
	switch {
	case route == fuzzOpen:
		return catalog.Customer{}, catalog.Route{Name: fuzzOpen, Group: "g", ReadOnly: true, Open: true}, nil
	case customer != fuzzCustomer || key != fuzzKey:
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.Unauthorized, "")
	}
	return w.AuthorizeKey(customer, "", route)
}

// MatchKey implements Access.
func (w *fuzzWorld) MatchKey(customer, key string) (catalog.KeyRef, bool) {
	return "main", customer == fuzzCustomer && key == fuzzKey
}

// AuthorizeKey implements Access.
func (w *fuzzWorld) AuthorizeKey(_ string, _ catalog.KeyRef, route string) (catalog.Customer, catalog.Route, error) {
	switch route {
	case fuzzOpen:
		return catalog.Customer{}, catalog.Route{Name: fuzzOpen, Group: "g", ReadOnly: true, Open: true}, nil
	case fuzzRoute:
		return catalog.Customer{Name: fuzzCustomer, Weight: 1}, catalog.Route{Name: fuzzRoute, Group: "g", Mode: catalog.ReadSession}, nil
	}
	return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.UnknownRoute, "")
}

// Sealer implements Access.
func (w *fuzzWorld) Sealer() *position.Sealer {
	secret := []byte("fuzz-secret")
	return position.NewSealer(secret, [][]byte{secret})
}

// AdmitWait implements Limiter.
func (w *fuzzWorld) AdmitWait(context.Context, string, float64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admitted++
	return nil
}

// Execute implements Router.
func (w *fuzzWorld) Execute(_ context.Context, r *router.Request) (*router.Result, error) {
	return w.answer(r)
}

// Continue implements Router.
func (w *fuzzWorld) Continue(_ context.Context, _ router.Pin, r *router.Request) (*router.Result, error) {
	return w.answer(r)
}

// answer begins and ends a transaction by the words of the request and fails
// one that asks for it.
func (w *fuzzWorld) answer(r *router.Request) (*router.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	words := bytes.ToLower(r.Messages)
	if bytes.Contains(words, []byte("fail")) {
		w.open = false
		return nil, errkind.New(errkind.TransactionLost, "asked for")
	}
	if bytes.Contains(words, []byte("begin")) {
		w.open = true
	}
	if bytes.Contains(words, []byte("commit")) {
		w.open = false
	}
	return &router.Result{ExecuteReply: w.reply(bytes.Contains(words, []byte("long")))}, nil
}

// reply returns one part of an answer; the lock is held.
func (w *fuzzWorld) reply(more bool) pool.ExecuteReply {
	answer, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	reply := pool.ExecuteReply{Answer: answer, More: more, Status: 'I'}
	if w.open {
		reply.Status = 'T'
	}
	if !more && !w.open {
		reply.Committed, reply.Position = true, position.Position{Term: 1, Offset: uint64(w.requests)}
	}
	return reply
}

// Fetch implements Router.
func (w *fuzzWorld) Fetch(context.Context, router.Pin, pool.FetchArgs) (*pool.ExecuteReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := w.reply(false)
	return &reply, nil
}

// Abort implements Router.
func (w *fuzzWorld) Abort(router.Pin, pool.SessionID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open = false
}

// Cancel implements Router.
func (w *fuzzWorld) Cancel(context.Context, router.Pin, pool.SessionID) error { return nil }

// ForwardCancel implements CancelForwarder.
func (w *fuzzWorld) ForwardCancel(uint16, uint16, uint32) {}

// Request implements Observer.
func (w *fuzzWorld) Request(string, string, bool, bool, time.Duration, error) {}

// CallerEvent implements Observer.
func (w *fuzzWorld) CallerEvent(kind, _, _, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind == "login" {
		w.logins++
	}
}

// duplex is one end of a connection in memory that can be closed for writing
// alone, as linger needs it. Its other methods are not called.
type duplex struct {
	net.Conn
	in  *io.PipeReader
	out *io.PipeWriter
}

func newDuplex() (*duplex, *duplex) {
	aIn, bOut := io.Pipe()
	bIn, aOut := io.Pipe()
	return &duplex{in: aIn, out: aOut}, &duplex{in: bIn, out: bOut}
}

// Read implements net.Conn.
func (d *duplex) Read(b []byte) (int, error) { return d.in.Read(b) }

// Write implements net.Conn.
func (d *duplex) Write(b []byte) (int, error) { return d.out.Write(b) }

// CloseWrite ends the sending side.
func (d *duplex) CloseWrite() error { return d.out.Close() }

// Close implements net.Conn.
func (d *duplex) Close() error {
	_ = d.in.Close()
	return d.out.Close()
}

// SetDeadline does nothing: the other end always closes.
func (d *duplex) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (d *duplex) SetReadDeadline(time.Time) error { return nil }

// converse sends the bytes to a fresh server and returns the world afterwards
// and all that the server answered.
func converse(t *testing.T, data []byte) (*fuzzWorld, []byte) {
	t.Helper()
	w := &fuzzWorld{}
	s := NewServer(nil, Config{
		VM: "vm1", Access: func() Access { return w }, Limiter: w, Router: w, Observer: w, Cancels: w, MaxMessageBytes: fuzzMaxMessage,
	})
	ours, theirs := newDuplex()
	defer func() { _ = ours.Close() }()
	done, answered := make(chan struct{}), make(chan []byte, 1)
	go func() {
		defer close(done)
		s.serveConn(theirs)
	}()
	go exchange(ours, data, answered)
	limit := time.NewTimer(fuzzLimit)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		t.Fatalf("the connection did not end: %q", data)
	}
	if n := s.Count(); n != 0 {
		t.Fatalf("%d callers are still counted", n)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open {
		t.Fatalf("a transaction was left open: %q", data)
	}
	return w, <-answered
}

// exchange sends the bytes, reads until the server closes and closes as well.
func exchange(conn *duplex, data []byte, answered chan<- []byte) {
	go func() {
		_, _ = conn.Write(data)
		_ = conn.CloseWrite()
	}()
	answer, _ := io.ReadAll(conn)
	_ = conn.Close()
	answered <- answer
}

// checkFrames checks that the answer is a row of whole messages.
func checkFrames(t *testing.T, answer []byte) {
	t.Helper()
	for rest := answer; len(rest) > 0; {
		if len(rest) < 5 {
			t.Fatalf("the answer ends inside a message: %q", rest)
		}
		size := int(binary.BigEndian.Uint32(rest[1:5])) + 1
		if size < 5 || size > len(rest) {
			t.Fatalf("a message of %d bytes in %d: %q", size, len(rest), rest)
		}
		rest = rest[size:]
	}
}

// encode appends the messages.
func encode(messages ...pgproto3.FrontendMessage) []byte {
	var data []byte
	for _, m := range messages {
		data, _ = m.Encode(data)
	}
	return data
}

func startupOf(parameters ...string) *pgproto3.StartupMessage {
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{}}
	for i := 0; i+1 < len(parameters); i += 2 {
		m.Parameters[parameters[i]] = parameters[i+1]
	}
	return m
}

// FuzzStartup sends bytes from the first one on. A startup that is refused
// reaches neither the router nor the rate and leaves no connection.
func FuzzStartup(f *testing.F) {
	login := startupOf("user", fuzzCustomer, "database", fuzzRoute)
	key := &pgproto3.PasswordMessage{Password: fuzzKey}
	f.Add(encode(login, key, &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(login, &pgproto3.PasswordMessage{Password: "wrong"}, &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, login, key))
	f.Add(encode(&pgproto3.CancelRequest{ProcessID: uint32(VMTag("vm1"))<<16 | 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(encode(startupOf("user", "x", "database", fuzzOpen, "options", "-c "+sessionParameter+"=forged")))
	f.Add(encode(startupOf("user", "x", "database", fuzzOpen), &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(startupOf("user", "x", "replication", "true")))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > fuzzMaxInput {
			t.Skip("too long")
		}
		w, _ := converse(t, data)
		if w.logins == 0 && (w.admitted > 0 || w.requests > 0) {
			t.Fatalf("a refused startup was admitted %d times and ran %d requests", w.admitted, w.requests)
		}
	})
}

// FuzzMessages sends bytes after a login. The answer is whole messages and no
// transaction stays open.
func FuzzMessages(f *testing.F) {
	query := func(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }
	f.Add(encode(query("SELECT 1; SELECT 2"), query(""), query("BEGIN"), query("fail")))
	f.Add(encode(query("BEGIN"), query("INSERT INTO t VALUES (1)")))
	f.Add(encode(query("BEGIN READ ONLY"), query("long"), query("COMMIT"), &pgproto3.Terminate{}))
	f.Add(encode(query("SET "+sessionParameter+" = 'x'"), query("SHOW "+sessionParameter), query("SET "+maxAgeParameter+" = '1s'"), query("DISCARD ALL")))
	f.Add(encode(&pgproto3.Parse{Name: "a", Query: "SELECT $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{nil}},
		&pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Bind{PreparedStatement: "missing"}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(encode(query("COPY t FROM STDIN"), &pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, query("LISTEN a"), query("/* open")))
	f.Add(encode(query(string(bytes.Repeat([]byte("x"), 2*fuzzMaxMessage)))))
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Add([]byte{'Z', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > fuzzMaxInput {
			t.Skip("too long")
		}
		login := encode(startupOf("user", fuzzCustomer, "database", fuzzRoute), &pgproto3.PasswordMessage{Password: fuzzKey})
		w, answer := converse(t, append(login, data...))
		if w.logins != 1 {
			t.Fatalf("%d logins", w.logins)
		}
		checkFrames(t, answer)
	})
}
