// Package naive is a plain pass-through proxy: one backend connection for each
// caller, always to the primary known at the start, bytes copied as they come.
// It is the baseline that measurements compare with and is never part of the
// product.
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

// loginTimeout bounds the login of a caller and at the backend server.
const loginTimeout = 10 * time.Second

// Config describes a pass-through proxy.
type Config struct {
	// Keys maps customers to their keys.
	Keys map[string]string
	// Primaries maps groups to the address (host:port) of their first primary.
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

// Start listens on a free port of the address's host and serves until Close.
func Start(listen string, cfg Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{cfg: cfg, listener: listener, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the address for callers.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and all its connections.
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
		return "", errors.New("no startup message")
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
		return "", errors.New("key is not valid")
	}
	return startup.Parameters["database"], nil
}

// login logs in at the backend server up to its password; the rest of its
// answers goes to the caller.
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

// passwordRequestBytes is the size of AuthenticationCleartextPassword, in bytes.
const passwordRequestBytes = 9
