package configsync

import (
	"context"
	"sync"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// execute executes an action and returns its result, or nil if it has none.
func (n *Node) execute(action any) any {
	switch a := action.(type) {
	case renew:
		return n.renew(a)
	case readConfig:
		snap, err := n.readConfig()
		return configRead{endsRead: true, ok: err == nil, snap: snap}
	case listHolders:
		return n.listHolders(a)
	case requestPromises:
		return n.requestPromises(a)
	case requestLease:
		return n.requestLease(a)
	case finish:
		n.finish(a)
		return finishDone{}
	case propose:
		n.propose(a)
		return proposed{}
	case notify:
		n.notify(a)
	case giveBack:
		return gaveBack{ok: n.giveBack(a)}
	}
	return nil
}

// platformContext returns a context with the timeout of a platform call.
func (n *Node) platformContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(n.ctx, services.CallTimeout)
}

// renew writes the holder row and then reads the configuration.
func (n *Node) renew(a renew) renewed {
	r := renewed{id: a.holder.ID, acked: a.holder.Acked, voters: a.holder.Voters}
	ctx, cancel := n.platformContext()
	defer cancel()
	version := a.version
	if a.reread {
		row, err := n.cfg.Services.Get(ctx, holderKey(a.holder.ID))
		switch {
		case errkind.Is(err, errkind.NotFound) && version > 0:
			r.removed = true
			return r
		case err != nil && !errkind.Is(err, errkind.NotFound):
			r.outcomeUnknown = true
			return r
		}
		version = row.Version
	}
	r.sent = n.cfg.Now()
	row, err := n.cfg.Services.CompareAndSet(ctx, holderKey(a.holder.ID), version, encode(a.holder), a.request)
	if err != nil {
		r.outcomeUnknown = !errkind.Is(err, errkind.PlatformUnavailable)
		return r
	}
	r.wrote, r.version = true, row.Version
	snap, err := n.readConfig()
	r.read, r.snap = err == nil, snap
	return r
}

// readConfig reads the configuration row and its documents.
func (n *Node) readConfig() (snapshot, error) {
	ctx, cancel := n.platformContext()
	defer cancel()
	row, err := n.cfg.Services.Get(ctx, recordKey)
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return snapshot{}, err
	}
	return n.load(row)
}

// load decodes a configuration row and loads the documents that it names.
func (n *Node) load(row services.Row) (snapshot, error) {
	s := snapshot{row: row}
	var err error
	if s.record, err = decodeRecord(row); err != nil {
		return s, err
	}
	if s.current, err = n.document(s.record.Object); err != nil {
		return s, err
	}
	if p := s.record.Pending; p != nil {
		s.pending, err = n.document(p.Object)
	}
	return s, err
}

// document returns a document from the cache, the object store or a peer.
func (n *Node) document(object string) (*catalog.Document, error) {
	if object == "" {
		return nil, nil
	}
	if d, ok := n.documents.get(object); ok {
		return d, nil
	}
	data, err := n.fetch(object)
	if err != nil {
		return nil, err
	}
	d, err := catalog.Decode(data)
	if err == nil {
		n.documents.put(object, d)
	}
	return d, err
}

// fetch reads an encoded document from the object store or, if that fails, from a peer.
func (n *Node) fetch(object string) ([]byte, error) {
	ctx, cancel := n.platformContext()
	defer cancel()
	data, err := n.cfg.Services.Object(ctx, object)
	if err == nil {
		return data, nil
	}
	for _, vm := range n.peersToAsk() {
		var reply DocumentReply
		if n.call(vm.Address, "Config.Document", DocumentRequest{Object: object}, &reply) == nil && objectName(reply.Data) == object {
			return reply.Data, nil
		}
	}
	return nil, err
}

func (n *Node) listHolders(a listHolders) holdersListed {
	ctx, cancel := n.platformContext()
	defer cancel()
	r := holdersListed{recordVersion: a.recordVersion, began: n.cfg.Now()}
	rows, err := n.cfg.Services.List(ctx, holderPrefix)
	r.ended = n.cfg.Now()
	r.ok, r.rows = err == nil, rows
	return r
}

// call calls a method of another process with peerTimeout.
func (n *Node) call(address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	return n.cfg.Caller.Call(ctx, address, method, args, reply)
}

// receiveRow passes a configuration row to the core if it is newer than the known
// one. It returns false if its documents cannot be loaded.
func (n *Node) receiveRow(row services.Row) bool {
	if row.Version <= n.published.Load().row.Version {
		return true
	}
	snap, err := n.load(row)
	if err != nil {
		return false
	}
	n.ref.Send(configRead{ok: true, snap: snap})
	return true
}

// requestPromises sends promise requests to all voters in parallel.
func (n *Node) requestPromises(a requestPromises) promisesDone {
	done := promisesDone{sent: n.cfg.Now(), id: a.request.From}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, h := range a.holders {
		calls.Add(1)
		go func() {
			defer calls.Done()
			request := a.request
			request.To = h.ID
			var reply PromiseReply
			if n.call(h.Address, "Config.Promise", request, &reply) != nil {
				return
			}
			if reply.Granted {
				mu.Lock()
				done.granted = append(done.granted, h.ID)
				mu.Unlock()
				return
			}
			n.receiveRow(reply.Row)
		}()
	}
	calls.Wait()
	return done
}

// requestLease asks one process after another until one gives a lease.
func (n *Node) requestLease(a requestLease) leaseDone {
	for _, address := range n.lessors(a.addresses) {
		sent := n.cfg.Now()
		var reply PromiseReply
		if n.call(address, "Config.Lease", a.request, &reply) != nil {
			continue
		}
		n.setHints(reply.Holders)
		if reply.Granted {
			n.setLessor(address)
			return leaseDone{sent: sent, ok: true, length: reply.Length}
		}
		n.receiveRow(reply.Row)
	}
	return leaseDone{}
}

// finish writes the configuration row that ends a patch. The error can be ignored:
// the core reads the row again before it continues, and a repeated write fails if
// the row version has changed.
func (n *Node) finish(a finish) {
	ctx, cancel := n.platformContext()
	defer cancel()
	row, err := n.cfg.Services.CompareAndSet(ctx, recordKey, a.version, a.value, a.request)
	if err != nil {
		return
	}
	n.receiveRow(row)
	for _, g := range a.removable {
		_ = n.cfg.Services.Delete(ctx, g.Key, g.Version, a.request+"-"+g.Key)
	}
}

// propose writes a pending attempt; the core proposes again later if that fails.
func (n *Node) propose(a propose) {
	ctx, cancel := n.platformContext()
	defer cancel()
	if row, err := n.cfg.Services.CompareAndSet(ctx, recordKey, a.version, a.value, a.request); err == nil {
		n.receiveRow(row)
	}
}

// notify sends a configuration row to other processes in parallel. A process that
// misses it reads the row at its next poll.
func (n *Node) notify(a notify) {
	var calls sync.WaitGroup
	for _, address := range a.addresses {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_ = n.call(address, "Config.Notify", NotifyRequest{Row: a.row}, &NotifyReply{})
		}()
	}
	calls.Wait()
}

// giveBack deletes the holder row, whatever its version.
func (n *Node) giveBack(a giveBack) bool {
	ctx, cancel := n.platformContext()
	defer cancel()
	row, err := n.cfg.Services.Get(ctx, holderKey(a.id))
	if err != nil {
		return errkind.Is(err, errkind.NotFound)
	}
	return n.cfg.Services.Delete(ctx, row.Key, row.Version, a.id+"-") == nil
}
