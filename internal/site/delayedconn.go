package site

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// maxQueuedChunks limits the chunks in flight in one direction.
	maxQueuedChunks = 256
	// chunkSize is the buffer size of a read, in bytes.
	chunkSize = 16 << 10
)

// chunk is a piece of a stream, delivered no earlier than its due time.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn is a connection with simulated latency. One goroutine for each direction
// carries the bytes; both stop delivering while the two ends are partitioned.
type delayedConn struct {
	net.Conn
	network  *Network
	from, to Location
	delay    time.Duration

	out    chan chunk
	in     chan chunk
	closed chan struct{}
	once   sync.Once

	readMu   sync.Mutex
	unread   []byte
	readErr  error
	deadline *deadline
}

func newDelayedConn(n *Network, from, to Location, conn net.Conn) *delayedConn {
	l := &delayedConn{
		Conn: conn, network: n, from: from, to: to, delay: n.delay(from, to),
		out: make(chan chunk, maxQueuedChunks), in: make(chan chunk, maxQueuedChunks),
		closed: make(chan struct{}), deadline: newDeadline(),
	}
	go l.send()
	go l.receive()
	return l
}

// send writes queued chunks when they are due.
func (l *delayedConn) send() {
	for {
		select {
		case <-l.closed:
			return
		case c := <-l.out:
			if !l.awaitDelivery(c.due) {
				return
			}
			if _, err := l.Conn.Write(c.data); err != nil {
				_ = l.Close()
				return
			}
		}
	}
}

// receive reads from the underlying connection and queues the bytes for Read.
func (l *delayedConn) receive() {
	for {
		buf := make([]byte, chunkSize)
		count, err := l.Conn.Read(buf)
		c := chunk{data: buf[:count], due: time.Now().Add(l.delay), err: err}
		if !l.awaitDelivery(c.due) {
			return
		}
		select {
		case l.in <- c:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until the due time has passed and the ends are not partitioned. It
// returns false if the connection was closed.
func (l *delayedConn) awaitDelivery(due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.closed:
			return false
		}
	}
	for {
		partitioned, changed := l.network.partitionState(l.from, l.to)
		if !partitioned {
			return true
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// Write queues the bytes; it fails only after the connection was closed.
func (l *delayedConn) Write(b []byte) (int, error) {
	c := chunk{data: append([]byte(nil), b...), due: time.Now().Add(l.delay)}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case l.out <- c:
		return len(b), nil
	}
}

// Read returns bytes that have been delivered.
func (l *delayedConn) Read(b []byte) (int, error) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if len(l.unread) == 0 && l.readErr == nil {
		select {
		case c := <-l.in:
			l.unread, l.readErr = c.data, c.err
		default:
			if err := l.awaitChunk(); err != nil {
				return 0, err
			}
		}
	}
	if len(l.unread) > 0 {
		n := copy(b, l.unread)
		l.unread = l.unread[n:]
		return n, nil
	}
	return 0, l.readErr
}

func (l *delayedConn) awaitChunk() error {
	select {
	case <-l.closed:
		return io.EOF
	case <-l.deadline.expired():
		return os.ErrDeadlineExceeded
	case c := <-l.in:
		l.unread, l.readErr = c.data, c.err
	}
	return nil
}

// Close closes both directions.
func (l *delayedConn) Close() error {
	l.once.Do(func() {
		close(l.closed)
		_ = l.Conn.Close()
	})
	return nil
}

// SetDeadline sets the read deadline. Writes need none because they only queue.
func (l *delayedConn) SetDeadline(t time.Time) error { return l.SetReadDeadline(t) }

// SetReadDeadline sets the read deadline.
func (l *delayedConn) SetReadDeadline(t time.Time) error {
	l.deadline.set(t)
	return nil
}

// SetWriteDeadline does nothing because writes only queue.
func (l *delayedConn) SetWriteDeadline(time.Time) error { return nil }

// deadline closes a channel when its time has passed. The mutex guards both fields.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() *deadline { return &deadline{done: make(chan struct{})} }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		d.done = make(chan struct{})
	}
	d.timer = nil
	select {
	case <-d.done:
		d.done = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	done := d.done
	if wait := time.Until(t); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(done) })
		return
	}
	close(done)
}

func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}
