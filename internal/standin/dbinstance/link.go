package dbinstance

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// proxyPrefix starts the application_name of a proxy's connection:
// "chicoryline/VM/DOMAIN".
const proxyPrefix = "chicoryline/"

// link is a connection that the fault switches can hold. Bytes and the end of
// the stream pass only while the direction is open, so a held connection hangs.
type link struct {
	net.Conn
	faults  *faultSwitches
	parties atomic.Pointer[[]string]

	closeOnce sync.Once
	closed    chan struct{}
}

func newLink(conn net.Conn, faults *faultSwitches, parties []string) *link {
	l := &link{Conn: conn, faults: faults, closed: make(chan struct{})}
	l.parties.Store(&parties)
	return l
}

// identify sets the parties at the other end.
func (l *link) identify(parties []string) { l.parties.Store(&parties) }

// hold waits while the direction is held.
func (l *link) hold(way Direction) { l.faults.hold(l.closed, way, *l.parties.Load()) }

// Read implements net.Conn.
func (l *link) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	l.hold(CutInbound)
	return n, err
}

// Write implements net.Conn.
func (l *link) Write(b []byte) (int, error) {
	l.hold(CutOutbound)
	return l.Conn.Write(b)
}

// Close implements net.Conn.
func (l *link) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// reset closes the connection so that the other end gets a reset.
func (l *link) reset() {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
}

// partiesOf returns the parties that an application_name names.
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
