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

// Service answers other processes. It is registered with net/rpc as "Config".
type Service struct{ node *Node }

// Service returns the node's answers to other processes.
func (n *Node) Service() *Service { return &Service{node: n} }

// Arguments and replies of Service.
type (
	// VersionAsk asks for the newest configuration row that a process knows.
	// Row is the version that the asker knows.
	VersionAsk struct{ Row uint64 }
	// VersionReply answers VersionAsk.
	VersionReply struct{ Row services.Row }
	// DocumentAsk asks for an encoded document by its name in the object store.
	DocumentAsk struct{ Object string }
	// DocumentReply answers DocumentAsk.
	DocumentReply struct{ Data []byte }
	// NotifyAsk shows a configuration row.
	NotifyAsk struct{ Row services.Row }
	// NotifyReply answers NotifyAsk. Row is the version known before.
	NotifyReply struct{ Row uint64 }
)

// Promise answers another holder; a refusal carries the newer row.
func (s *Service) Promise(ask PromiseAsk, reply *PromiseReply) error {
	call := promiseCall{ask: ask, reply: make(chan PromiseReply, 1)}
	return s.decide(call, call.reply, reply)
}

// Lease answers a VM that holds no grant; a refusal carries the newer row.
func (s *Service) Lease(ask LeaseAsk, reply *PromiseReply) error {
	call := leaseCall{ask: ask, reply: make(chan PromiseReply, 1)}
	err := s.decide(call, call.reply, reply)
	reply.Holders = s.node.hint(reply.Holders)
	return err
}

func (s *Service) decide(call any, answer chan PromiseReply, reply *PromiseReply) error {
	if !s.node.enter() {
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
	defer s.node.work.Done()
	s.node.ref.Send(call)
	select {
	case *reply = <-answer:
		return nil
	case <-s.node.ctx.Done():
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
}

// Version returns the newest configuration row that this process knows.
func (s *Service) Version(_ VersionAsk, reply *VersionReply) error {
	reply.Row = s.node.shown.Load().row
	return nil
}

// Document returns an encoded document, or errkind.NotFound.
func (s *Service) Document(ask DocumentAsk, reply *DocumentReply) error {
	d, ok := s.node.documents.get(ask.Object)
	if !ok {
		return peer.Encode(errkind.New(errkind.NotFound, "document %s", ask.Object))
	}
	reply.Data = catalog.Encode(d)
	return nil
}

// Notify takes a configuration row that another process has read.
func (s *Service) Notify(ask NotifyAsk, reply *NotifyReply) error {
	if !s.node.enter() {
		return peer.Encode(errkind.New(errkind.ShuttingDown, "configuration"))
	}
	defer s.node.work.Done()
	reply.Row = s.node.shown.Load().row.Version
	s.node.show(ask.Row)
	return nil
}

func objectName(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// documentsKept is how many decoded documents a process keeps: those in use and
// a few older ones that peers may ask for.
const documentsKept = 8

// documentCache keeps the documents read last.
type documentCache struct {
	mu    sync.Mutex
	names []string
	byID  map[string]*catalog.Document
}

func (c *documentCache) get(object string) (*catalog.Document, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.byID[object]
	return d, ok
}

func (c *documentCache) put(object string, d *catalog.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]*catalog.Document{}
	}
	if _, ok := c.byID[object]; ok {
		return
	}
	c.byID[object] = d
	c.names = append(c.names, object)
	if len(c.names) > documentsKept {
		delete(c.byID, c.names[0])
		c.names = c.names[1:]
	}
}
