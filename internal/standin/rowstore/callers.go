package rowstore

import (
	"context"
	"maps"
	"net"
	"net/http"
)

// Call describes calls that are counted together.
type Call struct {
	// Caller is the name passed to AddressFor, empty for calls at Address.
	Caller string
	// Kind is get, feed, poll (a feed that does not wait) or tx.
	Kind string
	// Table is empty for tx.
	Table string
}

// callers counts calls and injects faults by caller. Each caller has an address of its own. The
// mutex of the store guards the fields.
type callers struct {
	server    *http.Server
	listeners map[string]net.Listener
	faults    map[string]Fault
	counts    map[Call]int
	refused   int
}

// callerKey is the context key of the name of a connection's caller.
type callerKey struct{}

func newCallers(server *http.Server) callers {
	c := callers{server: server, listeners: map[string]net.Listener{}, faults: map[string]Fault{}, counts: map[Call]int{}}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if named, ok := conn.(namedConn); ok {
			return context.WithValue(ctx, callerKey{}, named.caller)
		}
		return ctx
	}
	return c
}

// namedListener marks its connections with the name of their caller.
type namedListener struct {
	net.Listener
	caller string
}

type namedConn struct {
	net.Conn
	caller string
}

func (l namedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return namedConn{conn, l.caller}, nil
}

// AddressFor returns the address at which calls are attributed to the caller.
func (s *Store) AddressFor(caller string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.listeners[caller]; ok {
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listeners[caller] = l
	go func() { _ = s.callers.server.Serve(namedListener{l, caller}) }()
	return l.Addr().String(), nil
}

// SetFaultFor sets how calls of one caller fail; NoFault ends the fault. Calls that are waiting
// for a change are not affected.
func (s *Store) SetFaultFor(caller string, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[caller] = f
}

// TakeCounts returns the number of calls since the last call of TakeCounts, and how many of them
// were refused or not answered.
func (s *Store) TakeCounts() (counts map[Call]int, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, refused = maps.Clone(s.counts), s.refused
	clear(s.counts)
	s.refused = 0
	return counts, refused
}

// recordCall counts the call and returns the fault that applies to it. The mutex is held.
func (s *Store) recordCall(r *http.Request) Fault {
	caller, _ := r.Context().Value(callerKey{}).(string)
	kind := map[string]string{"/v1/rows-get": "get", "/v1/rows-feed": "feed", "/v1/rows-tx": "tx"}[r.URL.Path]
	if kind == "feed" && r.URL.Query().Get("wait_ms") == "0" {
		kind = "poll"
	}
	s.counts[Call{caller, kind, r.URL.Query().Get("table")}]++
	fault := s.faults[caller]
	if fault == NoFault {
		fault = s.fault
	}
	if fault != NoFault && fault != LoseAnswers {
		s.refused++
	}
	return fault
}

func (s *Store) closeCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
}
