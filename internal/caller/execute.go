package caller

import (
	"bytes"
	"context"
	"time"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/router"
)

const (
	// minKeyBytes is the shortest key that is looked for inside statements.
	minKeyBytes = 8
	// anonymousCustomer is the name under which callers of open routes queue.
	anonymousCustomer = "anonymous"
)

// run serves the connection until the caller leaves, the key is withdrawn or
// the process stops.
func (c *conn) run() {
	go c.readLoop()
	stopping := false
	for {
		if stopping && len(c.batches) == 0 {
			c.fire("stop_requested", errkind.New(errkind.ShuttingDown, "not run"))
		}
		if c.closed() {
			return
		}
		select {
		case b, ok := <-c.batches:
			if !ok {
				c.fire("caller_gone", nil)
			} else if !c.serveBatch(b) {
				return
			}
		case err := <-c.revoked:
			if _, _, again := c.authorize(); isRevoked(again) {
				c.fire("revoked", err)
			}
		case <-c.stopped:
			stopping = true
		}
	}
}

// serveBatch answers one batch; false ends the connection.
func (c *conn) serveBatch(b *batch) bool {
	started := time.Now()
	if b.err != nil {
		c.sendFailure(b.err)
		return !b.fatal
	}
	customer, route, err := c.authorize()
	if err != nil {
		if isRevoked(err) {
			c.fire("revoked", err)
			return false
		}
		c.sendFailure(err)
		return true
	}
	if len(b.classes) == 0 && len(b.steps) == 0 {
		c.answerEmpty(b)
		return true
	}
	if b.any(isLocal) {
		c.serveLocal(b)
		return true
	}
	err = c.serveRemote(b, customer, route)
	c.server.cfg.Observer.Request(customer.Name, route.Group, b.all(isRead), c.ranOnReplica(), time.Since(started), err)
	return true
}

func (c *conn) ranOnReplica() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running != nil && !c.running.Primary
}

func (c *conn) serveLocal(b *batch) {
	if !b.all(isLocal) {
		c.sendFailure(errkind.New(errkind.Unsupported, "settings of the proxy together with other statements"))
		return
	}
	c.answerLocal(b)
}

// sendFailure refuses a request; the transaction keeps its state.
func (c *conn) sendFailure(err error) {
	c.sendError(err, "ERROR")
	c.sendReady()
}

// serveRemote admits the request, runs it and relays the answer.
func (c *conn) serveRemote(b *batch, customer catalog.Customer, route catalog.Route) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.fire("request", nil)
	if err := c.admit(ctx, b, customer); err != nil {
		c.fire("error_not_run", nil)
		c.sendFailure(err)
		return err
	}
	c.seq++
	request := c.newRequest(b, customer, route)
	result, err := c.dispatch(ctx, request)
	if err != nil {
		c.applyError(err)
		c.sendFailure(err)
		return err
	}
	return c.relay(ctx, b, route, request, result)
}

// admit refuses a batch that carries the caller's key and counts its
// statements against the customer's rate. Preparing a statement is free. BEGIN pays for the transaction's end
// too, so that no transaction is caught between its work and its COMMIT.
func (c *conn) admit(ctx context.Context, b *batch, customer catalog.Customer) error {
	if len(c.key) >= minKeyBytes && bytes.Contains(b.messages, []byte(c.key)) {
		return errkind.New(errkind.KeyInStatement, "")
	}
	if customer.Name == "" {
		return nil
	}
	cost := 0.0
	if b.executions == 0 {
		return nil
	}
	for _, class := range b.classes {
		switch {
		case class.begin:
			cost += 2
		case class.end && c.txStatus() != 'I':
		default:
			cost++
		}
	}
	if cost == 0 {
		return nil
	}
	return c.server.cfg.Limiter.AdmitWait(ctx, "customer/"+customer.Name, cost)
}

// newRequest describes the batch to the router.
func (c *conn) newRequest(b *batch, customer catalog.Customer, route catalog.Route) *router.Request {
	r := &router.Request{
		Session: c.id, Seq: c.seq, Group: route.Group,
		Customer: customer.Name, Weight: customer.Weight,
		Read:         b.all(isRead),
		WriteAllowed: !route.ReadOnly,
		PrimaryOnly:  route.Mode != catalog.ReadSession,
		ReadOnly:     c.readOnlyTx || b.any(isReadOnlyBegin),
		MaxAge:       c.session.acceptedMaxAge(route),
		Min:          c.session.minPositions[route.Group],
		QueueTimeout: c.server.cfg.QueueTimeout,
		MayCommit:    c.txStatus() == 'I' || b.any(mayCommit),
		ResetAfter:   b.any(changesSessionState),
		Messages:     b.messages,
		Statements:   b.unparsedStatements(),
		OnTarget:     c.setRunning,
	}
	if r.Customer == "" {
		r.Customer, r.Weight = anonymousCustomer, 1
	}
	r.Current = r.Read && (r.MaxAge == 0 || !c.session.isCompleteFor(route.Group))
	if c.readOnlyTx {
		r.Current = false
	}
	return r
}

// dispatch sends the request to the open transaction's owner or lets the
// router choose.
func (c *conn) dispatch(ctx context.Context, r *router.Request) (*router.Result, error) {
	c.mu.Lock()
	pin := c.pin
	c.running = pin
	c.mu.Unlock()
	if pin != nil {
		return c.server.cfg.Router.Continue(ctx, *pin, r)
	}
	if !r.Read && !r.WriteAllowed {
		return nil, errkind.New(errkind.ReadOnly, "route")
	}
	return c.server.cfg.Router.Execute(ctx, r)
}

// applyError forgets the open transaction unless the error leaves it open.
func (c *conn) applyError(err error) {
	c.fire(errorEvent(err), nil)
	if c.txStatus() == 'I' {
		c.setPin(nil)
	}
}

// setRunning notes where the request runs, for cancel requests.
func (c *conn) setRunning(pin router.Pin) {
	c.mu.Lock()
	c.running = &pin
	c.mu.Unlock()
}

func (c *conn) setPin(pin *router.Pin) {
	c.mu.Lock()
	c.pin = pin
	c.mu.Unlock()
	if pin == nil {
		c.readOnlyTx = false
	}
}

// relay passes the answer on, part by part, and ends it with the token and the
// true status. An answer that breaks off ends with an error, never silently.
func (c *conn) relay(ctx context.Context, b *batch, route catalog.Route, r *router.Request, result *router.Result) error {
	c.setRunning(result.Pin)
	reply := &result.ExecuteReply
	for part := 1; reply.More; part++ {
		if err := c.write(reply.Answer); err != nil {
			c.fire("caller_gone", nil)
			return errkind.New(errkind.Canceled, "caller is gone")
		}
		c.fire("part_read", nil)
		next, err := c.server.cfg.Router.Fetch(ctx, result.Pin, pool.FetchArgs{Session: c.id, Seq: r.Seq, Part: part})
		if err != nil {
			c.applyError(err)
			c.sendFailure(err)
			return err
		}
		reply = next
	}
	c.finishAnswer(b, route, result, reply)
	return nil
}

func (c *conn) finishAnswer(b *batch, route catalog.Route, result *router.Result, reply *pool.ExecuteReply) {
	_ = c.write(reply.Answer)
	if reply.Committed {
		c.session.minPositions.Raise(route.Group, reply.Position)
		c.sendToken()
	}
	c.fire(answerEvent(reply.Status), nil)
	if reply.Status == 'I' {
		c.setPin(nil)
	} else {
		pin := result.Pin
		if b.any(isReadOnlyBegin) {
			c.readOnlyTx = true
		}
		c.setPin(&pin)
	}
	c.sendReady()
}

// write sends encoded messages as they are.
func (c *conn) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := c.backend.Flush(); err != nil {
		return err
	}
	_, err := c.net.Write(data)
	return err
}

// answerEmpty answers a query without statements, or a lone Sync.
func (c *conn) answerEmpty(b *batch) {
	if b.simple {
		c.sendEmptyQuery()
	}
	c.sendReady()
}

// cancelRunning passes a cancel request on to where the statement runs.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	pin := c.running
	c.mu.Unlock()
	if pin == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.server.cfg.Router.Cancel(ctx, *pin, c.id)
}

// cancelTimeout bounds the forwarding of a cancel request.
const cancelTimeout = 2 * time.Second
