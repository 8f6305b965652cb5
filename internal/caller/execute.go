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
	// minKeyBytes is the minimum length of a key that is searched for in statements.
	minKeyBytes = 8
	// anonymousCustomer is the queueing name of callers of open routes, which have no
	// customer.
	anonymousCustomer = "anonymous"
)

// run serves the connection until the caller disconnects, its key is withdrawn or the process
// stops.
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
			if _, _, currentErr := c.authorize(); isRevoked(currentErr) {
				c.fire("revoked", err)
			}
		case <-c.stopped:
			stopping = true
		}
	}
}

// serveBatch answers one batch. It returns false if the connection has to end.
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
	return c.runningPin != nil && !c.runningPin.Primary
}

func (c *conn) serveLocal(b *batch) {
	if !b.all(isLocal) {
		c.sendFailure(errkind.New(errkind.Unsupported, "settings of the proxy together with other statements"))
		return
	}
	c.answerLocal(b)
}

// sendFailure answers a request with an error. It does not change the transaction state.
func (c *conn) sendFailure(err error) {
	c.sendError(err, "ERROR")
	c.sendReady()
}

// serveRemote checks the rate limit, sends the request to the router and relays the answer.
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

// admit rejects a batch that contains the caller's key and charges its statements to the
// customer's rate limit. Preparing a statement is free. BEGIN also pays for the end of the
// transaction, so that the rate limit never rejects a COMMIT after the transaction's work.
func (c *conn) admit(ctx context.Context, b *batch, customer catalog.Customer) error {
	if len(c.key) >= minKeyBytes && bytes.Contains(b.messages, []byte(c.key)) {
		return errkind.New(errkind.KeyInStatement, "")
	}
	if customer.Name == "" {
		return nil
	}
	cost := 0.0
	if b.executionCount == 0 {
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

// newRequest builds the router's request for the batch.
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
		OnTarget:     c.setRunningPin,
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

// dispatch sends the request to the pool owner of the open transaction. Without one the router
// chooses the target.
func (c *conn) dispatch(ctx context.Context, r *router.Request) (*router.Result, error) {
	c.mu.Lock()
	pin := c.txPin
	c.runningPin = pin
	c.mu.Unlock()
	if pin != nil {
		return c.server.cfg.Router.Continue(ctx, *pin, r)
	}
	if !r.Read && !r.WriteAllowed {
		return nil, errkind.New(errkind.ReadOnly, "route")
	}
	return c.server.cfg.Router.Execute(ctx, r)
}

// applyError updates the state after a failed request and unpins the transaction unless the
// error leaves it open.
func (c *conn) applyError(err error) {
	c.fire(errorEvent(err), nil)
	if c.txStatus() == 'I' {
		c.setTxPin(nil)
	}
}

// setRunningPin records where the request is executed, for cancel requests.
func (c *conn) setRunningPin(pin router.Pin) {
	c.mu.Lock()
	c.runningPin = &pin
	c.mu.Unlock()
}

func (c *conn) setTxPin(pin *router.Pin) {
	c.mu.Lock()
	c.txPin = pin
	c.mu.Unlock()
	if pin == nil {
		c.readOnlyTx = false
	}
}

// relay forwards the answer part by part and ends it with the transaction status, preceded by
// the new session token if the request committed a write. An incomplete answer always ends
// with an error.
func (c *conn) relay(ctx context.Context, b *batch, route catalog.Route, r *router.Request, result *router.Result) error {
	c.setRunningPin(result.Pin)
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
		c.setTxPin(nil)
	} else {
		pin := result.Pin
		if b.any(isReadOnlyBegin) {
			c.readOnlyTx = true
		}
		c.setTxPin(&pin)
	}
	c.sendReady()
}

// write sends messages that are already encoded.
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

// answerEmpty answers a query without statements or a Sync without other messages.
func (c *conn) answerEmpty(b *batch) {
	if b.simple {
		c.sendEmptyQuery()
	}
	c.sendReady()
}

// cancelRunning forwards a cancel request to the VM that executes the statement.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	pin := c.runningPin
	c.mu.Unlock()
	if pin == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = c.server.cfg.Router.Cancel(ctx, *pin, c.id)
}

// cancelTimeout limits the forwarding of a cancel request.
const cancelTimeout = 2 * time.Second
