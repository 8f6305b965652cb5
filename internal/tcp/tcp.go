// Package tcp opens connections that notice a peer that has gone dark.
package tcp

import (
	"net"
	"syscall"
	"time"
)

// Times of a silent peer. Peers answer within tens of milliseconds; a link that has
// carried nothing for longer than these is dark.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// UserTimeout bounds the time that sent bytes may stay unacknowledged.
	UserTimeout = 3 * time.Second
)

// KeepAlive is the probing of idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer opens connections; the timeout bounds the opening.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: ControlUserTimeout}
}

// ControlUserTimeout sets UserTimeout on a socket.
func ControlUserTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7), in milliseconds
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
