// Package tcp opens connections that detect an unresponsive peer within seconds.
package tcp

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Timeouts for detecting an unresponsive peer. Peers answer within tens of milliseconds, so a
// connection that has carried nothing for longer than this is broken.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// UserTimeout is how long sent data may stay unacknowledged before the kernel closes
	// the connection.
	UserTimeout = 3 * time.Second
)

// KeepAlive configures the keep-alive probes of idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// CheckAddress returns an error unless the text is the IPv4 address of a host and a port that can
// be connected to. Names are not resolved.
func CheckAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Annotatef(err, "address %.60q", text)
	}
	if ip := a.Addr(); a.Port() == 0 || !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() {
		return errors.Errorf("address %.60q is not that of a host and a port", text)
	}
	return nil
}

// Dialer returns a dialer with keep-alive probes and UserTimeout. The timeout bounds the
// connection setup; 0 means no limit.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive, Control: ControlUserTimeout}
}

// ControlUserTimeout sets the TCP_USER_TIMEOUT option of a socket to UserTimeout. It is a
// Control function for net.Dialer.
func ControlUserTimeout(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of tcp(7), in milliseconds
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}
