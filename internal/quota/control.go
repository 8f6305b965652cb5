package quota

import (
	"context"
	"time"

	"chicoryline/internal/services"
)

// Messages to the control actor.
type (
	tick          struct{}
	urgentRenewal struct{ resource string }
	renewed       struct {
		renewals []Renewal
		reply    RenewReply
		err      error
	}
)

// handle is the control actor's handler.
func (n *Node) handle(message any) {
	switch m := message.(type) {
	case tick:
		n.renewAll(n.allResources(), true)
	case urgentRenewal:
		if r := n.resource(m.resource); r != nil {
			n.renewAll([]*resource{r}, false)
		}
	case renewed:
		n.handleRenewed(m)
	}
}

// renewAll starts one call to each home of the given resources. With refresh, it
// first updates the list of registered holders and drops expired shares.
func (n *Node) renewAll(list []*resource, refresh bool) {
	holders := n.config.Holders()
	batches := map[string][]Renewal{}
	for _, r := range list {
		var now time.Time
		r.update(func() {
			now = n.config.Now()
			if refresh {
				n.setMembers(r, holders, now)
				r.holder.expireShare(now)
			}
			if r.holder.inFlight || r.holder.target == "" || r.holder.machine.Done() {
				return
			}
			batches[r.holder.target] = append(batches[r.holder.target], r.holder.newRenewal(now))
		})
		n.report(r, now)
	}
	for target, renewals := range batches {
		n.startCall(holders, target, renewals)
	}
}

// startCall sends the renewals in a goroutine, which passes the answer to the control
// actor as a message.
func (n *Node) startCall(holders []services.VM, target string, renewals []Renewal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return
	}
	n.calls.Add(1)
	go func() {
		defer n.calls.Done()
		reply, err := n.send(holders, target, renewals)
		n.actor.Send(renewed{renewals, reply, err})
	}()
}

func (n *Node) send(holders []services.VM, target string, renewals []Renewal) (RenewReply, error) {
	var reply RenewReply
	if target == n.config.VM.ID {
		return reply, n.Service().Renew(&RenewArgs{renewals}, &reply)
	}
	address := ""
	for _, vm := range holders {
		if vm.ID == target {
			address = vm.Address
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutIntervals*n.timing.interval)
	defer cancel()
	err := n.config.Caller.Call(ctx, address, ServiceName+".Renew", &RenewArgs{renewals}, &reply)
	return reply, err
}

// handleRenewed passes the outcome of a call to the holders of its resources.
func (n *Node) handleRenewed(m renewed) {
	var renewNow []*resource
	for i, renewal := range m.renewals {
		r := n.resource(renewal.Resource)
		var now time.Time
		r.update(func() {
			now = n.config.Now()
			immediate := false
			if m.err != nil || i >= len(m.reply.Grants) {
				r.holder.handleFailure(now, renewal.Seq)
			} else {
				r.holder.handleGrant(now, m.reply.Grants[i])
				immediate = m.reply.Grants[i].Again
			}
			if immediate || r.holder.needsImmediateRenewal(now) {
				renewNow = append(renewNow, r)
			}
		})
		n.report(r, now)
		n.processWaiting(r, true)
	}
	if m.err != nil {
		n.config.Log.WithError(m.err).Debug("share renewal failed")
	}
	n.renewAll(renewNow, false)
}

// report logs the state changes that update recorded and calls the callbacks.
func (n *Node) report(r *resource, now time.Time) {
	events, onCount, count := r.takeEvents(now, n.timing.interval)
	for _, e := range events {
		fields := e.fields(r.name)
		entry := n.config.Log
		for key, value := range fields {
			entry = entry.WithField(key, value)
		}
		entry.Debug(e.kind)
		if n.config.OnEvent != nil {
			n.config.OnEvent(e.kind, fields)
		}
	}
	if onCount != nil {
		onCount(count)
	}
}

// Leave returns all shares and stops acting as home for any resource. This VM admits
// nothing from the start of the call, so requests must have ended before. Each home
// grants its free share to the other holders, so that the next home need not wait
// for leases to expire, and keeps answering until the holders had time to switch to
// a new home. Leave returns the context's error if the context ends first.
func (n *Node) Leave(ctx context.Context) error {
	n.returnShares()
	if err := n.waitForRenewals(ctx); err != nil {
		return err
	}
	for _, r := range n.allResources() {
		now := n.config.Now()
		r.update(func() { r.home.leave(now) })
		n.report(r, now)
	}
	return n.waitForRenewals(ctx)
}

// waitForRenewals waits long enough for each holder to renew.
func (n *Node) waitForRenewals(ctx context.Context) error {
	timer := time.NewTimer(callTimeoutIntervals * n.timing.interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// returnShares returns the shares of this VM and lets its homes grant all free shares.
func (n *Node) returnShares() {
	now := n.config.Now()
	batches := map[string][]Renewal{}
	for _, r := range n.allResources() {
		r.update(func() {
			r.holder.leave(now)
			r.home.grantAllFree = true
			batches[r.holder.target] = append(batches[r.holder.target], r.holder.newRenewal(now))
		})
		n.report(r, now)
	}
	holders := n.config.Holders()
	for target, renewals := range batches {
		n.startCall(holders, target, renewals)
	}
}

// Service handles calls from other processes. It must be registered as ServiceName.
type Service struct{ node *Node }

// Service returns the node's service.
func (n *Node) Service() *Service { return &Service{n} }

// Renew answers the renewals in order. A resource unknown to this process gets an
// empty grant.
func (s *Service) Renew(args *RenewArgs, reply *RenewReply) error {
	for _, renewal := range args.Renewals {
		grant := Grant{Resource: renewal.Resource, Seq: renewal.Seq}
		if r := s.node.resource(renewal.Resource); r != nil {
			var now time.Time
			r.update(func() {
				now = s.node.config.Now()
				grant = r.home.renew(now, renewal)
				if r.holder.machine.State() == "holding" {
					grant.Hint = r.holder.target
				}
			})
			s.node.report(r, now)
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return nil
}
