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

// worldDeadline bounds each wait of a cell; no promise depends on it.
const worldDeadline = time.Minute

// worlds counts the cells, for the names of their routes.
var worlds atomic.Int64

// world is one front with a fake router and one caller that the cell follows.
type world struct {
	server  *Server
	address string
	router  *fakeRouter
	access  *fakeAccess
	limiter *fakeLimiter
	states  chan string
	client  *client
	proceed func()
	stopped bool
	// withdrawnAt is the number of requests that had run when the key was
	// withdrawn, or -1.
	withdrawnAt int
}

func newWorld() (*world, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{
		address: listener.Addr().String(), router: newFakeRouter(), access: &fakeAccess{route: fmt.Sprintf("r%d", worlds.Add(1))},
		limiter: &fakeLimiter{refuse: make(chan error, 1)}, states: make(chan string, 256),
		proceed: func() {}, withdrawnAt: -1,
	}
	w.server = NewServer(listener, Config{
		VM: "vm", Incarnation: 1, Access: func() Access { return w.access }, Limiter: w.limiter,
		Router: w.router, Observer: silent{}, Log: logrus.NewEntry(log),
	})
	w.server.trace = func(state string) { w.states <- state }
	go w.server.Serve()
	w.client, err = dialClient(w.address, w.access.route)
	return w, err
}

func (w *world) close() {
	w.client.close()
	if !w.stopped {
		w.server.Close()
	}
}

func (w *world) await(state string) error {
	timer := time.NewTimer(worldDeadline)
	defer timer.Stop()
	for {
		select {
		case got := <-w.states:
			if got == state {
				return nil
			}
		case <-timer.C:
			return errors.Errorf("state %s was not entered", state)
		}
	}
}

// plans names, for each state, the statements that lead there, the one that is
// held there, and the one that the cell judges if none is held.
var plans = map[string]struct {
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

// enter brings the caller's connection into the state.
func (w *world) enter(state string) error {
	plan, ok := plans[state]
	if !ok {
		return errors.Errorf("no way into state %s", state)
	}
	if err := w.client.startup(); err != nil || state == "startup" {
		return err
	}
	if err := w.client.password(); err != nil {
		return err
	}
	if err := w.await("idle"); err != nil {
		return err
	}
	if state == "closed" {
		w.client.close()
		return w.await("closed")
	}
	for _, sql := range plan.before {
		if a := w.client.query(sql); a.broken != nil {
			return a.broken
		}
	}
	if plan.held == "" {
		return nil
	}
	if state == "relaying" {
		w.proceed = w.router.holdFetches()
	} else {
		w.proceed = w.router.holdRequests()
	}
	for len(w.states) > 0 {
		<-w.states // those of the statements before
	}
	w.client.send(plan.held)
	return w.await(state)
}

// finish takes the answer that the cell judges.
func (w *world) finish(state string) answer {
	switch state {
	case "startup":
		if err := w.client.password(); err != nil {
			return answer{code: w.client.code, class: w.client.class, broken: err}
		}
	case "closed":
		again, err := dialClient(w.address, w.access.route)
		if err != nil {
			return answer{broken: err}
		}
		w.client = again
		if err := again.login(); err != nil {
			return answer{code: again.code, class: again.class, broken: err}
		}
	}
	if plan := plans[state]; plan.held == "" {
		return w.client.query(plan.after)
	}
	return w.client.receive()
}

// client speaks the protocol message by message.
type client struct {
	route string
	net   net.Conn
	front *pgproto3.Frontend
	code  string
	class string
}

// answer is what a caller sees of one request.
type answer struct {
	rows, tags int
	code       string
	class      string
	status     byte
	// broken tells that the connection ended before ReadyForQuery.
	broken error
}

func dialClient(address, route string) (*client, error) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return &client{}, err
	}
	_ = socket.SetDeadline(time.Now().Add(worldDeadline))
	return &client{route: route, net: socket, front: pgproto3.NewFrontend(socket, socket)}, nil
}

func (c *client) close() {
	if c.net != nil {
		_ = c.net.Close()
	}
}

// startup sends the startup message and waits for the request for the key.
func (c *client) startup() error {
	c.front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": customer, "database": c.route}})
	if err := c.front.Flush(); err != nil {
		return err
	}
	message, err := c.front.Receive()
	if _, ok := message.(*pgproto3.AuthenticationCleartextPassword); err == nil && !ok {
		return errors.Errorf("message %T instead of the request for the key", message)
	}
	return err
}

func (c *client) password() error {
	c.front.Send(&pgproto3.PasswordMessage{Password: key})
	if err := c.front.Flush(); err != nil {
		return err
	}
	a := c.receive()
	c.code, c.class = a.code, a.class
	if a.broken == nil && a.status != 'I' {
		return errors.Errorf("status %c after the login", a.status)
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
	c.front.Send(&pgproto3.Query{String: sql})
	_ = c.front.Flush()
}

func (c *client) query(sql string) answer {
	c.send(sql)
	return c.receive()
}

// receive reads to ReadyForQuery or the end of the connection.
func (c *client) receive() answer {
	var a answer
	for {
		message, err := c.front.Receive()
		if err != nil {
			a.broken = err
			return a
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			a.rows++
		case *pgproto3.CommandComplete:
			a.tags++
		case *pgproto3.ErrorResponse:
			a.code = m.Code
			_, a.class, _ = strings.Cut(m.Detail, "class=")
		case *pgproto3.ReadyForQuery:
			a.status = m.TxStatus
			return a
		}
	}
}
