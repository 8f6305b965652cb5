package entry

import (
	"net"
	"net/http"
	"time"

	"chicoryline/internal/connlimit"
	"chicoryline/internal/membudget"
	"chicoryline/internal/session"
)

// The parts of a machine that callers may take. The smallest machine has 136 MB and 3,010
// descriptors; there callers have 54 MB and 1,740 connections.
const (
	// callerMemoryFraction is the fraction of the memory for callers. A process without callers
	// takes 20 to 45 MB, and the runtime collects garbage from memoryLimitFraction on.
	callerMemoryFraction = 0.4
	// connectionMemoryFraction is the part of that for what each connection takes, at
	// connectionBytes: its goroutine, its buffers of up to 8 KiB each and its session.
	connectionMemoryFraction = 0.5
	connectionBytes          = 16 << 10
	// reservedDescriptors are left to the machine. Callers may use callerDescriptorFraction of
	// the others; backend servers, other VMs and the store use the rest.
	reservedDescriptors      = 200
	callerDescriptorFraction = 0.75
	// minConnBytes is the least that one connection may hold: a message of 1 MiB, which counts
	// twice, and as much again for its answer and for the state of its session.
	minConnBytes = 6 << 20
	// connMemoryFraction is the fraction of the memory of all messages and answers that one
	// connection may hold.
	connMemoryFraction = 0.25
	// stateFraction is the fraction of that for the state of a session.
	stateFraction = 0.5
	// messageTimeout lets 1 MiB pass at 35 KiB/s: 30 senders share a link of 10 Mbit/s.
	messageTimeout = 30 * time.Second
	// httpConnections bounds the connections to each of the ports of readiness and metrics, which a
	// load balancer and a collector ask once a second.
	httpConnections = 32
	// httpTimeout bounds the reading and the answering of one HTTP request, httpIdleTimeout the
	// pause before the next one.
	httpTimeout     = 2 * time.Second
	httpIdleTimeout = 5 * time.Second
	// httpHeaderBytes bounds the header of an HTTP request; the runtime adds 4 KiB.
	httpHeaderBytes = 4 << 10
	// peerDescriptorFraction is the fraction of the descriptors for connections of other VMs. In
	// a fleet of 295 VMs, one that is home of small customers has a connection from each.
	peerDescriptorFraction = 0.125
	// writeTimeout is the time for a part of 64 KiB of an answer.
	writeTimeout = 10 * time.Second
)

// CallerLimits bounds what callers can take of the process.
type CallerLimits struct {
	membudget.Limits
	MessageTimeout, WriteTimeout time.Duration
	// PeerConnections bounds the connections to the port for other VMs; 0 means no limit.
	PeerConnections int
}

// DefaultCallerLimits returns the limits on a machine with the memory and descriptors; 0 means
// that these are not known, and not limited.
func DefaultCallerLimits(memory int64, descriptors int) CallerLimits {
	l := CallerLimits{MessageTimeout: messageTimeout, WriteTimeout: writeTimeout}
	if descriptors > 0 {
		usable := float64(descriptors - reservedDescriptors)
		l.Connections = max(1, int(usable*callerDescriptorFraction))
		l.PeerConnections = max(1, int(usable*peerDescriptorFraction))
	}
	if memory <= 0 {
		return l
	}
	all := float64(memory) * callerMemoryFraction
	byMemory := int(all * connectionMemoryFraction / connectionBytes)
	if l.Connections == 0 || byMemory < l.Connections {
		l.Connections = byMemory
	}
	l.Bytes = int64(all * (1 - connectionMemoryFraction))
	l.ConnBytes = max(minConnBytes, int64(float64(l.Bytes)*connMemoryFraction))
	return l
}

// newHTTPServer returns a server with bounded requests, and its bounded listener.
func newHTTPServer(l net.Listener, h http.HandlerFunc) (*http.Server, net.Listener) {
	return &http.Server{
		ReadHeaderTimeout: storeTimeout, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: httpHeaderBytes, Handler: h,
	}, connlimit.New(l, httpConnections)
}

// maxStateBytes returns what the values and prepared statements of one session may take.
func (l CallerLimits) maxStateBytes() int64 { return int64(float64(l.ConnBytes) * stateFraction) }

// What every configuration has to leave room for.
const (
	// ReservedConnections is the number of connections to each backend server that statements
	// cannot use.
	ReservedConnections = stewardConnections
	// DefaultTimeout is the time limit of a statement whose route sets none.
	DefaultTimeout = session.DefaultTimeout
)
