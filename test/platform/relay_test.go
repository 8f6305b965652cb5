package platform_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay passes connections on to an address. While it is cut, bytes and new connections
// hang.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		l.Close()
		r.closeAll()
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// Cut holds everything back, or ends that; connections from before then end.
func (r *relay) Cut(on bool) {
	r.mu.Lock()
	r.cut = on
	r.mu.Unlock()
	if !on {
		r.closeAll()
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", r.to)
		if err != nil {
			near.Close()
			continue
		}
		r.mu.Lock()
		r.conns[near], r.conns[far] = struct{}{}, struct{}{}
		r.mu.Unlock()
		go r.pass(near, far)
		go r.pass(far, near)
	}
}

// pass copies bytes until one side ends. What comes during a cut is dropped.
func (r *relay) pass(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.isCut() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !r.isCut() {
				to.Close()
			}
			return
		}
	}
}
