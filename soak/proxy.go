package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target on loopback and injects faults into them. The
// mutex guards the fields below it.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// delay is added to each chunk of data. dropFromTarget discards data from the target,
	// dropToTarget data for the target.
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

// copyDirection forwards data in one direction until either end closes. It calls discard,
// with the mutex held, to decide whether to drop the data.
func (p *proxy) copyDirection(from, to net.Conn, discard func() bool) {
	defer p.closeConns(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.mu.Lock()
			delay, drop := p.delay, discard()
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

// setFaults replaces the injected faults.
func (p *proxy) setFaults(delay time.Duration, dropFromTarget, dropToTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropFromTarget, p.dropToTarget = delay, dropFromTarget, dropToTarget
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// If the option fails, the connection is closed normally, which is also a fault.
		_ = t.SetLinger(0)
	}
	c.Close()
}
