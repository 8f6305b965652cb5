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
	fuzzCustomer  = "kremstal"
	fuzzKey       = "a-key-of-kremstal"
	fuzzRoute     = "orders"
	fuzzOpenRoute = "public"
	// fuzzMaxMessageBytes limits one message, in bytes; inputs can be larger.
	fuzzMaxMessageBytes = 1 << 10
	// fuzzMaxInputBytes limits an input, in bytes.
	fuzzMaxInputBytes = 1 << 16
	// fuzzTimeout limits the run time of one input; beyond it the server counts as hanging.
	fuzzTimeout = 60 * time.Second
)

// fuzzBackend implements every dependency of a Server. mu guards all fields.
type fuzzBackend struct {
	mu sync.Mutex
	// logins, admitted and requests count the completed logins, the statements admitted by the
	// rate limit and the requests to the router.
	logins, admitted, requests int
	// txOpen is true while the router has an open transaction.
	txOpen bool
}

// Authorize implements Access.
func (fb *fuzzBackend) Authorize(customer, key, route string) (catalog.Customer, catalog.Route, error) {
	switch {
	case route == fuzzOpenRoute:
		return catalog.Customer{}, catalog.Route{Name: fuzzOpenRoute, Group: "g", ReadOnly: true, Open: true}, nil
	case customer != fuzzCustomer || key != fuzzKey:
		return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.Unauthorized, "")
	}
	return fb.AuthorizeKey(customer, "", route)
}

// MatchKey implements Access.
func (fb *fuzzBackend) MatchKey(customer, key string) (catalog.KeyRef, bool) {
	return "main", customer == fuzzCustomer && key == fuzzKey
}

// AuthorizeKey implements Access.
func (fb *fuzzBackend) AuthorizeKey(_ string, _ catalog.KeyRef, route string) (catalog.Customer, catalog.Route, error) {
	switch route {
	case fuzzOpenRoute:
		return catalog.Customer{}, catalog.Route{Name: fuzzOpenRoute, Group: "g", ReadOnly: true, Open: true}, nil
	case fuzzRoute:
		return catalog.Customer{Name: fuzzCustomer, Weight: 1}, catalog.Route{Name: fuzzRoute, Group: "g", Mode: catalog.ReadSession}, nil
	}
	return catalog.Customer{}, catalog.Route{}, errkind.New(errkind.UnknownRoute, "")
}

// Sealer implements Access.
func (fb *fuzzBackend) Sealer() *position.Sealer {
	secret := []byte("fuzz-secret")
	return position.NewSealer(secret, [][]byte{secret})
}

// AdmitWait implements Limiter.
func (fb *fuzzBackend) AdmitWait(context.Context, string, float64) error {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	fb.admitted++
	return nil
}

// Execute implements Router.
func (fb *fuzzBackend) Execute(_ context.Context, r *router.Request) (*router.Result, error) {
	return fb.answer(r)
}

// Continue implements Router.
func (fb *fuzzBackend) Continue(_ context.Context, _ router.Pin, r *router.Request) (*router.Result, error) {
	return fb.answer(r)
}

// answer begins and ends a transaction by keywords in the request and fails a request that
// contains "fail".
func (fb *fuzzBackend) answer(r *router.Request) (*router.Result, error) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	fb.requests++
	words := bytes.ToLower(r.Messages)
	if bytes.Contains(words, []byte("fail")) {
		fb.txOpen = false
		return nil, errkind.New(errkind.TransactionLost, "requested by the input")
	}
	if bytes.Contains(words, []byte("begin")) {
		fb.txOpen = true
	}
	if bytes.Contains(words, []byte("commit")) {
		fb.txOpen = false
	}
	return &router.Result{ExecuteReply: fb.reply(bytes.Contains(words, []byte("long")))}, nil
}

// reply returns one part of an answer. The caller must hold mu.
func (fb *fuzzBackend) reply(more bool) pool.ExecuteReply {
	answer, _ := (&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}).Encode(nil)
	reply := pool.ExecuteReply{Answer: answer, More: more, Status: 'I'}
	if fb.txOpen {
		reply.Status = 'T'
	}
	if !more && !fb.txOpen {
		reply.Committed, reply.Position = true, position.Position{Term: 1, Offset: uint64(fb.requests)}
	}
	return reply
}

// Fetch implements Router.
func (fb *fuzzBackend) Fetch(context.Context, router.Pin, pool.FetchArgs) (*pool.ExecuteReply, error) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	reply := fb.reply(false)
	return &reply, nil
}

// Abort implements Router.
func (fb *fuzzBackend) Abort(router.Pin, pool.SessionID) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	fb.txOpen = false
}

// Cancel implements Router.
func (fb *fuzzBackend) Cancel(context.Context, router.Pin, pool.SessionID) error { return nil }

// ForwardCancel implements CancelForwarder.
func (fb *fuzzBackend) ForwardCancel(uint16, uint16, uint32) {}

// Request implements Observer.
func (fb *fuzzBackend) Request(string, string, bool, bool, time.Duration, error) {}

// CallerEvent implements Observer.
func (fb *fuzzBackend) CallerEvent(kind, _, _, _ string) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	if kind == "login" {
		fb.logins++
	}
}

// duplex is one end of an in-memory connection that supports CloseWrite, which linger needs.
// The embedded net.Conn is nil; its other methods are not called.
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

// CloseWrite closes the sending side.
func (d *duplex) CloseWrite() error { return d.out.Close() }

// Close implements net.Conn.
func (d *duplex) Close() error {
	_ = d.in.Close()
	return d.out.Close()
}

// SetDeadline does nothing, because the other end always closes.
func (d *duplex) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (d *duplex) SetReadDeadline(time.Time) error { return nil }

// runConnection sends the bytes to a new server and returns the backend and everything that
// the server answered.
func runConnection(t *testing.T, data []byte) (*fuzzBackend, []byte) {
	t.Helper()
	fb := &fuzzBackend{}
	s := NewServer(nil, Config{
		VM: "vm1", Access: func() Access { return fb }, Limiter: fb, Router: fb, Observer: fb, CancelForwarder: fb, MaxMessageBytes: fuzzMaxMessageBytes,
	})
	ours, theirs := newDuplex()
	defer func() { _ = ours.Close() }()
	done, answered := make(chan struct{}), make(chan []byte, 1)
	go func() {
		defer close(done)
		s.serveConn(theirs)
	}()
	go exchange(ours, data, answered)
	limit := time.NewTimer(fuzzTimeout)
	defer limit.Stop()
	select {
	case <-done:
	case <-limit.C:
		t.Fatalf("the connection did not end: %q", data)
	}
	if n := s.Count(); n != 0 {
		t.Fatalf("%d connections are still registered", n)
	}
	fb.mu.Lock()
	defer fb.mu.Unlock()
	if fb.txOpen {
		t.Fatalf("a transaction was left open: %q", data)
	}
	return fb, <-answered
}

// exchange sends the bytes, reads until the server closes, and closes the connection.
func exchange(conn *duplex, data []byte, answered chan<- []byte) {
	go func() {
		_, _ = conn.Write(data)
		_ = conn.CloseWrite()
	}()
	answer, _ := io.ReadAll(conn)
	_ = conn.Close()
	answered <- answer
}

// checkFrames checks that the answer is a sequence of complete messages.
func checkFrames(t *testing.T, answer []byte) {
	t.Helper()
	for rest := answer; len(rest) > 0; {
		if len(rest) < 5 {
			t.Fatalf("the answer ends inside a message: %q", rest)
		}
		size := int(binary.BigEndian.Uint32(rest[1:5])) + 1
		if size < 5 || size > len(rest) {
			t.Fatalf("message of %d bytes, %d bytes remain: %q", size, len(rest), rest)
		}
		rest = rest[size:]
	}
}

// encode encodes the messages one after the other.
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

// FuzzStartup sends arbitrary bytes on a new connection. A rejected startup must reach neither
// the router nor the rate limit and must leave no connection behind.
func FuzzStartup(f *testing.F) {
	login := startupOf("user", fuzzCustomer, "database", fuzzRoute)
	key := &pgproto3.PasswordMessage{Password: fuzzKey}
	f.Add(encode(login, key, &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(login, &pgproto3.PasswordMessage{Password: "wrong"}, &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, login, key))
	f.Add(encode(&pgproto3.CancelRequest{ProcessID: uint32(VMTag("vm1"))<<16 | 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(encode(startupOf("user", "x", "database", fuzzOpenRoute, "options", "-c "+sessionParameter+"=forged")))
	f.Add(encode(startupOf("user", "x", "database", fuzzOpenRoute), &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(startupOf("user", "x", "replication", "true")))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > fuzzMaxInputBytes {
			t.Skip("too long")
		}
		fb, _ := runConnection(t, data)
		if fb.logins == 0 && (fb.admitted > 0 || fb.requests > 0) {
			t.Fatalf("a rejected startup was admitted %d times and executed %d requests", fb.admitted, fb.requests)
		}
	})
}

// FuzzMessages sends arbitrary bytes after a login. The answer must consist of complete
// messages, and no transaction may stay open.
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
	f.Add(encode(query(string(bytes.Repeat([]byte("x"), 2*fuzzMaxMessageBytes)))))
	f.Add([]byte{'Q', 0, 0, 0, 3})
	f.Add([]byte{'Z', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > fuzzMaxInputBytes {
			t.Skip("too long")
		}
		login := encode(startupOf("user", fuzzCustomer, "database", fuzzRoute), &pgproto3.PasswordMessage{Password: fuzzKey})
		fb, answer := runConnection(t, append(login, data...))
		if fb.logins != 1 {
			t.Fatalf("%d logins, want 1", fb.logins)
		}
		checkFrames(t, answer)
	})
}
