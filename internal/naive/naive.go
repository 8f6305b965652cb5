// Package naive is a plain pass-through proxy: it opens one backend connection for each
// caller, always to the primary known at startup, and copies bytes unchanged. It is the
// baseline for measurements and not part of the product.
package naive

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// loginTimeout is the deadline for a caller's login and for that at the backend server.
const loginTimeout = 10 * time.Second

// Config configures a pass-through proxy.
type Config struct {
	// Keys maps customer names to API keys.
	Keys map[string]string
	// Primaries maps groups to the address (host:port) of their primary at startup.
	Primaries map[string]string
	User      string
	Password  string
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
}

// Proxy is a running pass-through proxy. The mutex guards conns.
type Proxy struct {
	cfg      Config
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Start listens on the address (host:port, port 0 for a free one) and serves until Close.
func Start(listen string, cfg Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{cfg: cfg, listener: listener, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the address that callers connect to.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(caller)
	}
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *Proxy) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) handle(caller net.Conn) {
	p.track(caller)
	defer p.closeAndUntrack(caller)
	_ = caller.SetDeadline(time.Now().Add(loginTimeout))
	route, err := p.authenticate(pgproto3.NewBackend(caller, caller))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), loginTimeout)
	defer cancel()
	server, err := p.cfg.Dial(ctx, "tcp", p.cfg.Primaries[strings.TrimSuffix(route, "-aged")])
	if err != nil {
		return
	}
	p.track(server)
	defer p.closeAndUntrack(server)
	if err := p.login(server); err != nil {
		return
	}
	_ = caller.SetDeadline(time.Time{})
	go func() {
		_, _ = io.Copy(server, caller)
		_ = server.Close()
	}()
	_, _ = io.Copy(caller, server)
}

// authenticate checks the caller's key and returns its route.
func (p *Proxy) authenticate(backend *pgproto3.Backend) (string, error) {
	message, err := backend.ReceiveStartupMessage()
	if err != nil {
		return "", err
	}
	startup, ok := message.(*pgproto3.StartupMessage)
	if !ok {
		return "", errors.New("first message is not a startup message")
	}
	backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := backend.Flush(); err != nil {
		return "", err
	}
	if err := backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	answer, err := backend.Receive()
	if err != nil {
		return "", err
	}
	password, ok := answer.(*pgproto3.PasswordMessage)
	if !ok || password.Password != p.cfg.Keys[startup.Parameters["user"]] {
		return "", errors.New("invalid customer key")
	}
	return startup.Parameters["database"], nil
}

// login starts the login at the backend server and sends the password. The server's further
// login messages are forwarded to the caller.
func (p *Proxy) login(server net.Conn) error {
	startup, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": p.cfg.User, "database": "postgres"},
	}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := server.Write(startup); err != nil {
		return err
	}
	request := make([]byte, passwordRequestBytes)
	if _, err := io.ReadFull(server, request); err != nil {
		return err
	}
	password, err := (&pgproto3.PasswordMessage{Password: p.cfg.Password}).Encode(nil)
	if err != nil {
		return err
	}
	_, err = server.Write(password)
	return err
}

// passwordRequestBytes is the size of the AuthenticationCleartextPassword message, in bytes.
const passwordRequestBytes = 9
