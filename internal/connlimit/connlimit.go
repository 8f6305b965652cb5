// Package connlimit bounds the connections of a listener whose clients are not known. If there are
// too many, the one that has been silent for longest is closed.
//
// Load: a crowd that opens connections and holds them, beside a load balancer that asks once a
// second on a new one.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"

	"chicoryline/internal/boottime"
)

// Listener is a listener with at most a number of open connections. The mutex guards conns.
type Listener struct {
	net.Listener
	limit  int
	closed atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener with at most limit open connections; 0 means no limit.
func New(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: limit, conns: map[*conn]struct{}{}}
}

// Closed returns the number of connections that were closed in favor of others.
func (l *Listener) Closed() int64 { return l.closed.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil || l.limit <= 0 {
		return socket, err
	}
	c := &conn{Conn: socket, listener: l}
	c.activeAt.Store(int64(boottime.Now()))
	l.mu.Lock()
	var oldest *conn
	if len(l.conns) >= l.limit {
		oldest = l.oldest()
		delete(l.conns, oldest)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		l.closed.Add(1)
		oldest.Conn.Close()
	}
	return c, nil
}

// oldest returns the connection that has been silent for longest. The mutex is held.
func (l *Listener) oldest() *conn {
	var oldest *conn
	for c := range l.conns {
		if oldest == nil || c.activeAt.Load() < oldest.activeAt.Load() {
			oldest = c
		}
	}
	return oldest
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	// activeAt is when the connection was opened or its client last sent anything.
	activeAt atomic.Int64
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.activeAt.Store(int64(boottime.Now()))
	}
	return n, err
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
