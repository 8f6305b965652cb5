package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target on loopback and harms them on demand. The
// mutex guards the fields below it.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// delay holds each piece back; silent swallows bytes towards the caller, deaf
	// those towards the target.
	delay                        time.Duration
	dropFromTarget, dropToTarget bool
	conns                        map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp4", p.target, time.Second)
		if err != nil {
			reset(near)
			continue
		}
		p.mu.Lock()
		p.conns[near], p.conns[far] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.copyDirection(near, far, func() bool { return p.dropToTarget })
		go p.copyDirection(far, near, func() bool { return p.dropFromTarget })
	}
}

// copyDirection copies one direction until an end closes; lost tells under the mutex whether
// bytes are swallowed.
func (p *proxy) copyDirection(from, to net.Conn, lost func() bool) {
	defer p.closeConns(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.mu.Lock()
			delay, drop := p.delay, lost()
			p.mu.Unlock()
			time.Sleep(delay)
			if !drop {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}

// setFaults changes the harm.
func (p *proxy) setFaults(delay time.Duration, silent, deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropFromTarget, p.dropToTarget = delay, silent, deaf
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a reset in place of an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// A failed option leaves an orderly close, which is harm enough.
		_ = t.SetLinger(0)
	}
	c.Close()
}
