package caller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// fixtureTimeout limits each wait of a test cell; no checked property depends on its value.
const fixtureTimeout = time.Minute

// fixtureCount numbers the fixtures, which gives each its own route name.
var fixtureCount atomic.Int64

// fixture is a server with a fake router and one client whose requests the test cell checks.
type fixture struct {
	server       *Server
	address      string
	router       *fakeRouter
	access       *fakeAccess
	limiter      *fakeLimiter
	states       chan string
	client       *client
	release      func()
	serverClosed bool
	// withdrawnAt is the number of requests that had been executed when the key was withdrawn,
	// or -1.
	withdrawnAt int
}

func newFixture() (*fixture, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fx := &fixture{
		address: listener.Addr().String(), router: newFakeRouter(), access: &fakeAccess{route: fmt.Sprintf("r%d", fixtureCount.Add(1))},
		limiter: &fakeLimiter{refuse: make(chan error, 1)}, states: make(chan string, 256),
		release: func() {}, withdrawnAt: -1,
	}
	fx.server = NewServer(listener, Config{
		VM: "vm", Incarnation: 1, Access: func() Access { return fx.access }, Limiter: fx.limiter,
		Router: fx.router, Observer: discardObserver{}, Log: logrus.NewEntry(log),
	})
	fx.server.onState = func(state string) { fx.states <- state }
	go fx.server.Serve()
	fx.client, err = dialClient(fx.address, fx.access.route)
	return fx, err
}

func (fx *fixture) close() {
	fx.client.close()
	if !fx.serverClosed {
		fx.server.Close()
	}
}

func (fx *fixture) awaitState(state string) error {
	timer := time.NewTimer(fixtureTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-fx.states:
			if got == state {
				return nil
			}
		case <-timer.C:
			return errors.Errorf("state %s was not entered", state)
		}
	}
}

// statePlans lists, for each state, the statements that lead to it, the statement that is
// blocked in it, and the statement that is checked if none is blocked.
var statePlans = map[string]struct {
	before []string
	held   string
	after  string
}{
	"startup":            {after: insert},
	"idle":               {after: insert},
	"running":            {held: insert},
	"in_transaction":     {before: []string{"BEGIN", insert}, after: "COMMIT"},
	"continuing":         {before: []string{"BEGIN", insert}, held: "COMMIT"},
	"failed_transaction": {before: []string{"BEGIN", insert, "FAIL"}, after: "ROLLBACK"},
	"continuing_failed":  {before: []string{"BEGIN", insert, "FAIL"}, held: "ROLLBACK"},
	"relaying":           {held: bulk},
	"closed":             {after: insert},
}

const (
	insert = "INSERT mine"
	bulk   = "SELECT big"
)

// enterState brings the client's connection into the state.
func (fx *fixture) enterState(state string) error {
	plan, ok := statePlans[state]
	if !ok {
		return errors.Errorf("no plan for state %s", state)
	}
	if err := fx.client.startup(); err != nil || state == "startup" {
		return err
	}
	if err := fx.client.password(); err != nil {
		return err
	}
	if err := fx.awaitState("idle"); err != nil {
		return err
	}
	if state == "closed" {
		fx.client.close()
		return fx.awaitState("closed")
	}
	for _, sql := range plan.before {
		if a := fx.client.query(sql); a.broken != nil {
			return a.broken
		}
	}
	if plan.held == "" {
		return nil
	}
	if state == "relaying" {
		fx.release = fx.router.holdFetches()
	} else {
		fx.release = fx.router.holdRequests()
	}
	for len(fx.states) > 0 {
		<-fx.states // discards the states of the statements in before
	}
	fx.client.send(plan.held)
	return fx.awaitState(state)
}

// finishRequest returns the answer to check.
func (fx *fixture) finishRequest(state string) answer {
	switch state {
	case "startup":
		if err := fx.client.password(); err != nil {
			return answer{code: fx.client.code, class: fx.client.class, broken: err}
		}
	case "closed":
		again, err := dialClient(fx.address, fx.access.route)
		if err != nil {
			return answer{broken: err}
		}
		fx.client = again
		if err := again.login(); err != nil {
			return answer{code: again.code, class: again.class, broken: err}
		}
	}
	if plan := statePlans[state]; plan.held == "" {
		return fx.client.query(plan.after)
	}
	return fx.client.receive()
}

// client speaks the PostgreSQL protocol message by message.
type client struct {
	route    string
	net      net.Conn
	frontend *pgproto3.Frontend
	code     string
	class    string
}

// answer is what a client receives for one request.
type answer struct {
	rows, commandTags int
	code              string
	class             string
	status            byte
	// broken is the error if the connection ended before ReadyForQuery.
	broken error
}

func dialClient(address, route string) (*client, error) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return &client{}, err
	}
	_ = socket.SetDeadline(time.Now().Add(fixtureTimeout))
	return &client{route: route, net: socket, frontend: pgproto3.NewFrontend(socket, socket)}, nil
}

func (c *client) close() {
	if c.net != nil {
		_ = c.net.Close()
	}
}

// startup sends the startup message and waits for the password request.
func (c *client) startup() error {
	c.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": customer, "database": c.route}})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	message, err := c.frontend.Receive()
	if _, ok := message.(*pgproto3.AuthenticationCleartextPassword); err == nil && !ok {
		return errors.Errorf("got message %T, want the password request", message)
	}
	return err
}

func (c *client) password() error {
	c.frontend.Send(&pgproto3.PasswordMessage{Password: key})
	if err := c.frontend.Flush(); err != nil {
		return err
	}
	a := c.receive()
	c.code, c.class = a.code, a.class
	if a.broken == nil && a.status != 'I' {
		return errors.Errorf("transaction status %c after the login, want I", a.status)
	}
	return a.broken
}

func (c *client) login() error {
	if err := c.startup(); err != nil {
		return err
	}
	return c.password()
}

func (c *client) send(sql string) {
	c.frontend.Send(&pgproto3.Query{String: sql})
	_ = c.frontend.Flush()
}

func (c *client) query(sql string) answer {
	c.send(sql)
	return c.receive()
}

// receive reads up to ReadyForQuery or the end of the connection.
func (c *client) receive() answer {
	var a answer
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			a.broken = err
			return a
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			a.rows++
		case *pgproto3.CommandComplete:
			a.commandTags++
		case *pgproto3.ErrorResponse:
			a.code = m.Code
			_, a.class, _ = strings.Cut(m.Detail, "class=")
		case *pgproto3.ReadyForQuery:
			a.status = m.TxStatus
			return a
		}
	}
}
