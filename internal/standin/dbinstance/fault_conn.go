package dbinstance

import (
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// proxyPrefix starts the application_name of a proxy's connection:
// "chicoryline/VM/DOMAIN".
const proxyPrefix = "chicoryline/"

// maxSendBufferBytes bounds the bytes that a held connection takes before a write
// blocks, as a socket's send buffer does.
const maxSendBufferBytes = 256 << 10

// faultConn is a connection that the fault switches can hold. Bytes and the end of
// the stream pass only while the direction is open, so a held connection hangs.
type faultConn struct {
	net.Conn
	faults  *activeFaults
	parties atomic.Pointer[[]string]

	closeOnce sync.Once
	closed    chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// sendBuffer holds written bytes while the direction out is held.
	sendBuffer []byte
	// drained is closed when the outbox has been sent; nil if none is in use.
	drained chan struct{}
}

func newFaultConn(conn net.Conn, faults *activeFaults, parties []string) *faultConn {
	l := &faultConn{Conn: conn, faults: faults, closed: make(chan struct{})}
	l.parties.Store(&parties)
	return l
}

// setParties sets the parties at the other end.
func (l *faultConn) setParties(parties []string) { l.parties.Store(&parties) }

// waitWhileHeld waits while the direction is held.
func (l *faultConn) waitWhileHeld(direction Direction) {
	l.faults.waitWhileHeld(l.closed, direction, *l.parties.Load())
}

// Read implements net.Conn.
func (l *faultConn) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The instance's own timer runs during a cut.
		return n, err
	}
	l.waitWhileHeld(CutInbound)
	return n, err
}

// Write implements net.Conn. Bytes that are held count as written.
func (l *faultConn) Write(b []byte) (int, error) {
	for {
		drained, ok := l.enqueue(b)
		switch {
		case ok:
			return len(b), nil
		case drained == nil:
			return l.Conn.Write(b)
		}
		select {
		case <-drained:
		case <-l.closed:
			return 0, net.ErrClosed
		}
	}
}

// enqueue puts the bytes into the outbox if one is in use or needed. It returns
// a nil channel if the bytes can be written at once, and the channel to wait
// for if the outbox is full.
func (l *faultConn) enqueue(b []byte) (drained <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained == nil {
		if held, _ := l.faults.isHeld(CutOutbound, *l.parties.Load()); !held {
			return nil, false
		}
		l.drained = make(chan struct{})
		go l.drain()
	}
	if len(l.sendBuffer) >= maxSendBufferBytes {
		return l.drained, false
	}
	l.sendBuffer = append(l.sendBuffer, b...)
	return l.drained, true
}

// drain sends the outbox whenever the direction is open, until it is empty.
func (l *faultConn) drain() {
	for {
		l.waitWhileHeld(CutOutbound)
		l.mu.Lock()
		pending := l.sendBuffer
		l.sendBuffer = nil
		if len(pending) == 0 {
			close(l.drained)
			l.drained = nil
		}
		l.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		// An error shows at the next read or write.
		_, _ = l.Conn.Write(pending)
	}
}

// drainAndClose closes the connection after what is held has been sent: the other end
// must not see the end of the stream through a cut.
func (l *faultConn) drainAndClose() {
	l.mu.Lock()
	drained := l.drained
	l.mu.Unlock()
	if drained != nil {
		select {
		case <-drained:
		case <-l.closed:
		}
	}
	l.waitWhileHeld(CutOutbound)
	_ = l.Close()
}

// Close implements net.Conn.
func (l *faultConn) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// reset closes the connection so that the other end gets a reset.
func (l *faultConn) reset() {
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
