package pool

import (
	"net"
	"syscall"
	"time"
)

// isHealthy looks for a closed socket or unread bytes without waiting: either
// makes an idle connection unfit for another transaction.
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

// hasNoPendingInput reports whether a read would have to wait. A deadline in the past
// does not do here: the runtime then fails without a look at the socket.
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
