package dbinstance

import (
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// proxyPrefix is the prefix of the application_name of a proxy's connection:
// "chicoryline/VM/DOMAIN".
const proxyPrefix = "chicoryline/"

// maxSendBufferBytes is the size at which writes to a held connection block, like the
// size of a socket's send buffer.
const maxSendBufferBytes = 256 << 10

// faultConn is a connection that injected faults can hold. While a direction is held,
// neither data nor the end of the stream passes in it, so the connection hangs.
type faultConn struct {
	net.Conn
	faults  *activeFaults
	parties atomic.Pointer[[]string]

	closeOnce sync.Once
	closed    chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// sendBuffer holds written data while the outbound direction is held.
	sendBuffer []byte
	// drained is closed when sendBuffer has been sent; it is nil while writes go
	// directly to the connection.
	drained chan struct{}
}

func newFaultConn(conn net.Conn, faults *activeFaults, parties []string) *faultConn {
	c := &faultConn{Conn: conn, faults: faults, closed: make(chan struct{})}
	c.parties.Store(&parties)
	return c
}

// setParties sets the parties that identify the remote end.
func (c *faultConn) setParties(parties []string) { c.parties.Store(&parties) }

// waitWhileHeld blocks while the direction is held or until the connection is closed.
func (c *faultConn) waitWhileHeld(direction Direction) {
	c.faults.waitWhileHeld(c.closed, direction, *c.parties.Load())
}

// Read implements net.Conn.
func (c *faultConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Read deadlines are local to the instance and expire during a cut too.
		return n, err
	}
	c.waitWhileHeld(CutInbound)
	return n, err
}

// Write implements net.Conn. Buffered bytes count as written.
func (c *faultConn) Write(b []byte) (int, error) {
	for {
		drained, ok := c.enqueue(b)
		switch {
		case ok:
			return len(b), nil
		case drained == nil:
			return c.Conn.Write(b)
		}
		select {
		case <-drained:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// enqueue appends the bytes to sendBuffer if the outbound direction is held or earlier
// bytes are still buffered. It returns a nil channel if the bytes can be written
// directly, and a channel to wait for if the buffer is full.
func (c *faultConn) enqueue(b []byte) (drained <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained == nil {
		if held, _ := c.faults.isHeld(CutOutbound, *c.parties.Load()); !held {
			return nil, false
		}
		c.drained = make(chan struct{})
		go c.drain()
	}
	if len(c.sendBuffer) >= maxSendBufferBytes {
		return c.drained, false
	}
	c.sendBuffer = append(c.sendBuffer, b...)
	return c.drained, true
}

// drain sends the contents of sendBuffer while the outbound direction is not held,
// until the buffer is empty.
func (c *faultConn) drain() {
	for {
		c.waitWhileHeld(CutOutbound)
		c.mu.Lock()
		pending := c.sendBuffer
		c.sendBuffer = nil
		if len(pending) == 0 {
			close(c.drained)
			c.drained = nil
		}
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		// The next read or write reports the error.
		_, _ = c.Conn.Write(pending)
	}
}

// drainAndClose closes the connection after the buffered data has been sent and the
// outbound direction is not held: the remote end must not observe the end of the
// stream during a cut.
func (c *faultConn) drainAndClose() {
	c.mu.Lock()
	drained := c.drained
	c.mu.Unlock()
	if drained != nil {
		select {
		case <-drained:
		case <-c.closed:
		}
	}
	c.waitWhileHeld(CutOutbound)
	_ = c.Close()
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *faultConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// partiesOf returns the parties that an application_name identifies.
func partiesOf(application string) []string {
	if rest, ok := strings.CutPrefix(application, peerPrefix); ok {
		id, domain, _ := strings.Cut(rest, "/")
		return []string{instanceParty + id, domainParty + domain}
	}
	if rest, ok := strings.CutPrefix(application, proxyPrefix); ok {
		vm, domain, _ := strings.Cut(rest, "/")
		return []string{vmParty + vm, domainParty + domain}
	}
	return nil
}
