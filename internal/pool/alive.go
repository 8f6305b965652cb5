package pool

import (
	"net"
	"syscall"
	"time"
)

// alive looks for a closed socket or unread bytes without waiting: either
// makes an idle connection unfit for another transaction.
func alive(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if raw, ok := c.net.(syscall.Conn); ok {
		return quietSocket(raw)
	}
	_ = c.net.SetReadDeadline(time.Now().Add(-time.Second))
	_, err := c.reader.Peek(1)
	_ = c.net.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// quietSocket reports whether a read would have to wait. A deadline in the past
// does not do here: the runtime then fails without a look at the socket.
func quietSocket(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
