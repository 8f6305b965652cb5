package pool

import (
	"net"
	"syscall"
	"time"
)

// isHealthy checks, without blocking, that an idle connection is still open and
// has no unread input. Otherwise it must not serve another transaction.
func isHealthy(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if raw, ok := c.net.(syscall.Conn); ok {
		return hasNoPendingInput(raw)
	}
	_ = c.net.SetReadDeadline(time.Now().Add(-time.Second))
	_, err := c.reader.Peek(1)
	_ = c.net.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// hasNoPendingInput reports whether a read would block. A read deadline in the past
// doesn't work here: the Go runtime then fails without checking the socket.
func hasNoPendingInput(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = err == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
