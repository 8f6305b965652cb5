// Package peer implements calls between the processes of the system over net/rpc.
//
// Error kinds cross the wire: the server writes the number of the kind in front of the text,
// and Client.Call restores it.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"strconv"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/timeline"
)

// DialTimeout limits how long opening a connection to another process may take.
const DialTimeout = 500 * time.Millisecond

// Caller sends one call to the process at the address (host:port). The method is
// "Service.Method". Errors: errkind.Unreachable if the call certainly did not reach the
// process, errkind.OutcomeUnknown if the reply was lost or the context ended first, otherwise
// the kind that the other process returned.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// DialFunc opens a connection. Tests replace it to simulate network partitions.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client keeps one multiplexed connection to each process that it has called. mu guards links.
type Client struct {
	dial  DialFunc
	clock *timeline.Clock

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one process. It is always closed through conn, never through
// client.Close: that way rpc.ErrShutdown is returned only for calls that were not sent, and a
// call that was sent gets the read error of the connection.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
	conn   net.Conn
}

// NewClient returns a client. A nil dial uses TCP; a non-nil config enables TLS.
func NewClient(clock *timeline.Clock, dial DialFunc, config *tls.Config) *Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: DialTimeout}
		dial = dialer.DialContext
	}
	if config != nil {
		plain := dial
		dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := plain(ctx, network, address)
			if err != nil {
				return nil, err
			}
			secure := tls.Client(conn, config)
			if err := secure.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return secure, nil
		}
	}
	return &Client{dial: dial, clock: clock, links: map[string]*link{}}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	l := c.link(address)
	client, err := l.open(ctx, c, address)
	if err != nil {
		return errkind.New(errkind.Unreachable, "%s: %v", address, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return errkind.New(errkind.OutcomeUnknown, "%s %s: %v", address, method, ctx.Err())
	case done := <-call.Done:
		return l.callError(client, done.Error, address, method)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.disconnect(nil)
	}
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = &link{}
		c.links[address] = l
	}
	return l
}

func (l *link) open(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l.client, l.conn = rpc.NewClientWithCodec(clientCodec{newCodec(conn, c.clock)}), conn
	return l.client, nil
}

// disconnect closes the connection if it still belongs to the given client; nil matches any
// client.
func (l *link) disconnect(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && (client == nil || l.client == client) {
		_ = l.conn.Close()
		l.client = nil
	}
}

// callError converts the error of a call to an error with a kind, and disconnects if the
// connection has failed.
func (l *link) callError(client *rpc.Client, err error, address, method string) error {
	if err == nil {
		return nil
	}
	if remote, ok := err.(rpc.ServerError); ok {
		return decodeError(string(remote))
	}
	l.disconnect(client)
	if err == rpc.ErrShutdown {
		return errkind.New(errkind.Unreachable, "%s %s: connection was closed", address, method)
	}
	return errkind.New(errkind.OutcomeUnknown, "%s %s: %v", address, method, err)
}

// Encode converts an error of a service method to the wire form, which carries the error kind.
func Encode(err error) error {
	if err == nil {
		return nil
	}
	var detail string
	if e, ok := errkind.As(err); ok {
		detail = e.Detail
	} else {
		detail = err.Error()
	}
	return fmt.Errorf("%d %s", errkind.KindOf(err), detail)
}

func decodeError(text string) error {
	number, detail, ok := strings.Cut(text, " ")
	kind, err := strconv.Atoi(number)
	if !ok || err != nil || kind < 0 || kind >= len(errkind.All()) {
		return errkind.New(errkind.Internal, "%s", text)
	}
	return errkind.New(errkind.Kind(kind), "%s", detail)
}

// Server serves the calls of other processes. mu guards conns and closed.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	clock    *timeline.Clock
	memory   Memory

	mu     sync.Mutex
	conns  map[io.Closer]bool
	closed bool
}

// NewServer returns a server on the listener; a non-nil config enables TLS.
func NewServer(clock *timeline.Clock, listener net.Listener, config *tls.Config) *Server {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return &Server{rpc: rpc.NewServer(), listener: listener, clock: clock, conns: map[io.Closer]bool{}}
}

// Register adds a service, a value whose exported methods have the form that net/rpc requires.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			return
		}
		go func() {
			s.serveConn(conn)
			s.untrack(conn)
		}()
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
