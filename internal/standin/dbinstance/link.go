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

// maxOutbox bounds the bytes that a held connection takes before a write
// blocks, as a socket's send buffer does.
const maxOutbox = 256 << 10

// link is a connection that the fault switches can hold. Bytes and the end of
// the stream pass only while the direction is open, so a held connection hangs.
type link struct {
	net.Conn
	faults  *faultSwitches
	parties atomic.Pointer[[]string]

	closeOnce sync.Once
	closed    chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// outbox holds written bytes while the direction out is held.
	outbox []byte
	// drained is closed when the outbox has been sent; nil if none is in use.
	drained chan struct{}
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
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The instance's own timer runs during a cut.
		return n, err
	}
	l.hold(CutInbound)
	return n, err
}

// Write implements net.Conn. Bytes that are held count as written.
func (l *link) Write(b []byte) (int, error) {
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
func (l *link) enqueue(b []byte) (drained <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drained == nil {
		if held, _ := l.faults.stopped(CutOutbound, *l.parties.Load()); !held {
			return nil, false
		}
		l.drained = make(chan struct{})
		go l.drain()
	}
	if len(l.outbox) >= maxOutbox {
		return l.drained, false
	}
	l.outbox = append(l.outbox, b...)
	return l.drained, true
}

// drain sends the outbox whenever the direction is open, until it is empty.
func (l *link) drain() {
	for {
		l.hold(CutOutbound)
		l.mu.Lock()
		b := l.outbox
		l.outbox = nil
		if len(b) == 0 {
			close(l.drained)
			l.drained = nil
		}
		l.mu.Unlock()
		if len(b) == 0 {
			return
		}
		// An error shows at the next read or write.
		_, _ = l.Conn.Write(b)
	}
}

// finish closes the connection after what is held has been sent: the other end
// must not see the end of the stream through a cut.
func (l *link) finish() {
	l.mu.Lock()
	drained := l.drained
	l.mu.Unlock()
	if drained != nil {
		select {
		case <-drained:
		case <-l.closed:
		}
	}
	l.hold(CutOutbound)
	_ = l.Close()
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
