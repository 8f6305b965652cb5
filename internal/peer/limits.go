package peer

import (
	"io"
	"net"
	"time"

	"github.com/juju/errors"
)

const (
	// maxRequestBytes bounds one request. Requests carry a statement of up to 64 KiB; earlier
	// versions forwarded up to 1 MiB with the values of a session.
	maxRequestBytes = 4 << 20
	// requestStep is the size in which larger requests reserve memory.
	requestStep = 64 << 10
	// responseTimeout bounds the writing of a response to a process that does not read.
	responseTimeout = 10 * time.Second
)

// Memory accounts for what requests of other processes take.
type Memory interface {
	// Reserve fails if there is no room for n more bytes.
	Reserve(n int64) error
	Release(n int64)
}

// Limit bounds requests, and the time to write a response, and accounts for large requests. It
// must be called before Serve.
func (s *Server) Limit(m Memory) { s.memory = m }

// serveConn serves the calls on a connection until it ends.
func (s *Server) serveConn(conn net.Conn) {
	if s.memory == nil {
		s.rpc.ServeCodec(serverCodec{newCodec(conn, s.clock)})
		return
	}
	limited := &limitedConn{Conn: conn, memory: s.memory}
	defer limited.release()
	s.rpc.ServeCodec(serverCodec{newCodec(limited, s.clock)})
}

// limitedConn is a server's connection with bounded requests and timed responses. The decoder
// keeps a buffer of the size of the largest request, so what was reserved for it stays reserved
// until the connection ends.
type limitedConn struct {
	net.Conn
	memory Memory
	// request counts the bytes of the request that is being read, reserved what was reserved.
	request, reserved int64
}

// Read implements io.Reader. It is called by one goroutine.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.request >= maxRequestBytes {
		return 0, errors.Errorf("request of more than %d bytes", maxRequestBytes)
	}
	if c.request > c.reserved+requestStep {
		if err := c.memory.Reserve(requestStep); err != nil {
			return 0, err
		}
		c.reserved += requestStep
	}
	n, err := c.Conn.Read(b[:min(len(b), requestStep)])
	c.request += int64(n)
	return n, err
}

// Write implements io.Writer.
func (c *limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// release gives up what the connection reserved. It is called after the last Read.
func (c *limitedConn) release() { c.memory.Release(c.reserved) }

// startRequest notes that the next request is read from the connection, if it is a limited one.
func startRequest(conn io.ReadWriteCloser) {
	if c, ok := conn.(*limitedConn); ok {
		c.request = 0
	}
}
