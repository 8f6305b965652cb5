package platform_test

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to an address. While it is partitioned, connections are
// accepted but their data is dropped, so that requests hang.
type relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]struct{}
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: to, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() {
		l.Close()
		r.closeAll()
	})
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// SetPartitioned starts or ends a partition. Its end closes all open connections.
func (r *relay) SetPartitioned(on bool) {
	r.mu.Lock()
	r.partitioned = on
	r.mu.Unlock()
	if !on {
		r.closeAll()
	}
}

func (r *relay) isPartitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.partitioned
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", r.target)
		if err != nil {
			client.Close()
			continue
		}
		r.mu.Lock()
		r.conns[client], r.conns[server] = struct{}{}, struct{}{}
		r.mu.Unlock()
		go r.forward(client, server)
		go r.forward(server, client)
	}
}

// forward copies bytes until one side closes. Bytes received during a partition are
// dropped.
func (r *relay) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.isPartitioned() {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && !r.isPartitioned() {
				to.Close()
			}
			return
		}
	}
}
