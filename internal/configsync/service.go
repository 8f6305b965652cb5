package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

// Service handles calls from other processes. It is registered with net/rpc as
// "Config".
type Service struct{ node *Node }

// Service returns the service that handles calls from other processes.
func (n *Node) Service() *Service { return &Service{node: n} }

// Requests and replies of Service.
type (
	// VersionRequest asks for the newest configuration row that a process knows.
	// Row is the version that the sender knows.
	VersionRequest struct{ Row uint64 }
	// VersionReply answers VersionRequest.
	VersionReply struct{ Row services.Row }
	// DocumentRequest asks for an encoded document by its name in the object store.
	DocumentRequest struct{ Object string }
	// DocumentReply answers DocumentRequest.
	DocumentReply struct{ Data []byte }
	// NotifyRequest notifies of a configuration row.
	NotifyRequest struct{ Row services.Row }
	// NotifyReply answers NotifyRequest. Row is the version known before the call.
	NotifyReply struct{ Row uint64 }
)

// Promise handles a promise request of another holder. A refusal includes the newer
// configuration row.
func (s *Service) Promise(request PromiseRequest, reply *PromiseReply) error {
	call := promiseCall{request: request, reply: make(chan PromiseReply, 1)}
	return s.callCore(call, call.reply, reply)
}

// Lease handles a lease request of a VM without a grant. A refusal includes the newer
// configuration row.
func (s *Service) Lease(request LeaseRequest, reply *PromiseReply) error {
	call := leaseCall{request: request, reply: make(chan PromiseReply, 1)}
	err := s.callCore(call, call.reply, reply)
	reply.Holders = s.node.limitHints(reply.Holders)
	return err
}

// callCore sends a message to the actor and waits for the answer.
func (s *Service) callCore(message any, answer chan PromiseReply, reply *PromiseReply) error {
	if !s.node.beginWork() {
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
	defer s.node.workers.Done()
	s.node.ref.Send(message)
	select {
	case *reply = <-answer:
		return nil
	case <-s.node.ctx.Done():
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
}

// Version returns the newest configuration row that this process knows.
func (s *Service) Version(_ VersionRequest, reply *VersionReply) error {
	reply.Row = s.node.published.Load().row
	return nil
}

// Document returns an encoded document, or errkind.NotFound.
func (s *Service) Document(request DocumentRequest, reply *DocumentReply) error {
	d, ok := s.node.documents.get(request.Object)
	if !ok {
		return peer.Encode(errkind.New(errkind.NotFound, "document %s", request.Object))
	}
	reply.Data = catalog.Encode(d)
	return nil
}

// Notify handles a configuration row that another process has read.
func (s *Service) Notify(request NotifyRequest, reply *NotifyReply) error {
	if !s.node.beginWork() {
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
	defer s.node.workers.Done()
	reply.Row = s.node.published.Load().row.Version
	s.node.receiveRow(request.Row)
	return nil
}

// objectName returns the name under which the object store keeps the data.
func objectName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// maxCachedDocuments is the maximum number of decoded documents that a process keeps:
// those in use and a few older ones that peers may request.
const maxCachedDocuments = 8

// documentCache keeps the most recently added documents.
type documentCache struct {
	mu     sync.Mutex
	order  []string
	byName map[string]*catalog.Document
}

func (c *documentCache) get(object string) (*catalog.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.byName[object]
	return d, ok
}

func (c *documentCache) put(object string, d *catalog.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = map[string]*catalog.Document{}
	}
	if _, ok := c.byName[object]; ok {
		return
	}
	c.byName[object] = d
	c.order = append(c.order, object)
	if len(c.order) > maxCachedDocuments {
		delete(c.byName, c.order[0])
		c.order = c.order[1:]
	}
}
