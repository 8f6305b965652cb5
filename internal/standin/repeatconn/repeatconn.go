// Package repeatconn simulates a server that sends an answer a second time, late: when the next
// request arrives on the connection, in front of the answer to that.
package repeatconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Fault opens connections on which answers are repeated.
type Fault struct {
	// Pick, if not nil, selects the answers that come again in front of the next one, as indexes
	// below n, the number of answers on the connection so far. It must be safe for concurrent use.
	Pick func(n int) []int
	// armed reports that the next answer is repeated.
	armed atomic.Bool
}

// Arm makes the answer that the next request on any of the connections finds be repeated.
func (f *Fault) Arm() { f.armed.Store(true) }

// Dial opens a connection over TCP.
func (f *Fault) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, fault: f}, nil
}

// conn repeats answers. An answer is all that was read since the last write.
type conn struct {
	net.Conn
	fault *Fault

	mu              sync.Mutex
	answer, pending []byte
	// answers are those of the connection, if the fault picks among them.
	answers [][]byte
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.answer) > 0 && c.fault.armed.CompareAndSwap(true, false) {
		c.pending = append(c.pending, c.answer...)
	}
	if c.fault.Pick != nil && len(c.answer) > 0 {
		c.answers = append(c.answers, c.answer)
		for _, i := range c.fault.Pick(len(c.answers)) {
			c.pending = append(c.pending, c.answers[i]...)
		}
	}
	c.answer = nil
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if len(c.pending) > 0 {
		n := copy(b, c.pending)
		c.pending = c.pending[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.answer = append(c.answer, b[:n]...)
	c.mu.Unlock()
	return n, err
}
