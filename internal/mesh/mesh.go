// Package mesh carries news between the VMs in datagrams: what each has taken of
// the customers' rates, which configuration it holds and when that was proved,
// what it knows of the database groups. News are soft state; a lost datagram is
// made good by the next.
//
// Clocks of VMs are not compared. A datagram returns the stamp of the newest one
// that its sender had received, so an age in it counts from that stamp on the
// receiver's own clock, or later; taking the stamp errs to the safe side.
package mesh

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
	"chicoryline/internal/ratelimit"
)

const (
	// Interval is the time between two datagrams to the same VM. Datagrams cross
	// failure domains, which is billed; rates and positions bear this delay.
	Interval = 500 * time.Millisecond
	// urgentInterval is that of a VM that misses answers of a primary and has to
	// know whether others get them.
	urgentInterval = 100 * time.Millisecond
	// HeardTime is how long a VM counts as in touch after its last datagram: three
	// lost in a row.
	HeardTime = 3*Interval + urgentInterval
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 60 << 10
)

// GroupNews is what a VM knows of a database group. Ages are in milliseconds; a
// negative age means never.
type GroupNews struct {
	// Position covered all commits acknowledged before PositionAge ago.
	Position    position.Position
	PositionAge int64
	// Primary is the server that the VM takes as the primary.
	Primary string
	// AnsweredAge and CommittedAge are when the primary last answered the VM and
	// when it last acknowledged a commit to it.
	AnsweredAge, CommittedAge int64
	// Load is the smoothed number of statements that the VM has under way at the
	// group's servers.
	Load float32
	// ExpectedIn is when a new primary should lead, in milliseconds; 0 if no change
	// is under way.
	ExpectedIn int64
}

// News is the body of a datagram.
type News struct {
	VM      string
	Leaving bool
	// Urgent asks for an answer at once.
	Urgent        bool
	ConfigVersion int64
	ConfigAge     int64 // milliseconds
	Usage         map[string]ratelimit.Usage
	Groups        map[string]GroupNews
}

// envelope is a datagram. Stamps are on the clock of the VM that made them.
type envelope struct {
	Incarnation     uint64
	Sent            boottime.Time
	EchoIncarnation uint64
	Echo            boottime.Time
	Body            msgpack.RawMessage
}

// Peer is a VM to exchange news with.
type Peer struct {
	VM      string
	Address string // host:port, UDP
}

type peerState struct {
	address *net.UDPAddr
	// incarnation and sent are those of the newest datagram from the peer.
	incarnation uint64
	sent        boottime.Time
	heard       boottime.Time
}

// Config describes the mesh of one VM.
type Config struct {
	VM   string
	Conn *net.UDPConn
	// Compose returns the news of the moment.
	Compose func() News
	// Urgent reports whether news are to be sent and asked for at short intervals.
	Urgent func() bool
	// Receive takes news of another VM; they were true at the moment since, on
	// this VM's clock, or later. since is 0 if the sender has not heard this VM.
	Receive func(n News, since boottime.Time)
	// Lost is told of a VM that is no longer in touch.
	Lost func(vm string)
	Log  *logrus.Entry
}

// Mesh exchanges news. The mutex guards peers.
type Mesh struct {
	cfg         Config
	incarnation uint64

	mu    sync.Mutex
	peers map[string]*peerState
}

// New returns a mesh without peers.
func New(cfg Config) *Mesh {
	return &Mesh{cfg: cfg, incarnation: rand.Uint64() | 1, peers: map[string]*peerState{}}
}

// SetPeers takes the list of other VMs.
func (m *Mesh) SetPeers(list []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]bool{}
	for _, p := range list {
		address, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil || p.VM == m.cfg.VM {
			if err != nil {
				m.cfg.Log.WithError(err).WithFields(logrus.Fields{"event": "member", "vm": p.VM}).Warn("address is not valid")
			}
			continue
		}
		wanted[p.VM] = true
		if old := m.peers[p.VM]; old == nil || old.address.String() != address.String() {
			m.peers[p.VM] = &peerState{address: address}
		}
	}
	for vm := range m.peers {
		if !wanted[vm] {
			delete(m.peers, vm)
		}
	}
}

// Heard returns the number of other VMs in touch and of all other VMs.
func (m *Mesh) Heard() (heard, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	for _, p := range m.peers {
		if p.heard != 0 && now.Sub(p.heard) < HeardTime {
			heard++
		}
	}
	return heard, len(m.peers)
}

// HeardOf reports whether the VM is in touch, and for how long it has been
// silent; the second is false for one never heard.
func (m *Mesh) HeardOf(vm string) (silent time.Duration, ever bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[vm]
	if p == nil || p.heard == 0 {
		return 0, false
	}
	return boottime.Since(p.heard), true
}

// Run exchanges news until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receiveLoop(ctx)
	ticker := time.NewTicker(urgentInterval)
	defer ticker.Stop()
	var last boottime.Time
	for {
		select {
		case <-ctx.Done():
			m.cfg.Conn.Close()
			return
		case <-ticker.C:
		}
		urgent := m.cfg.Urgent()
		if urgent || boottime.Since(last) >= Interval-urgentInterval/2 {
			last = boottime.Now()
			m.sendAll(urgent)
		}
	}
}

// target is where a datagram goes and what it returns.
type target struct {
	address *net.UDPAddr
	echo    boottime.Time
	of      uint64
}

func (m *Mesh) sendAll(urgent bool) {
	now := boottime.Now()
	var targets []target
	var lost []string
	m.mu.Lock()
	for vm, p := range m.peers {
		if p.heard != 0 && now.Sub(p.heard) >= HeardTime {
			p.heard = 0
			lost = append(lost, vm)
		}
		targets = append(targets, target{p.address, p.sent, p.incarnation})
	}
	m.mu.Unlock()
	for _, vm := range lost {
		m.cfg.Log.WithFields(logrus.Fields{"event": "member", "vm": vm, "silent_ms": HeardTime.Milliseconds()}).Warn("lost")
		m.cfg.Lost(vm)
	}
	if len(targets) > 0 {
		m.send(targets, urgent)
	}
}

func (m *Mesh) send(targets []target, urgent bool) {
	news := m.cfg.Compose()
	news.Urgent = urgent
	body, err := encode(news)
	if err != nil {
		m.cfg.Log.WithError(err).Error("news were not encoded")
		return
	}
	for _, t := range targets {
		data, err := encode(envelope{Incarnation: m.incarnation, Sent: boottime.Now(), EchoIncarnation: t.of, Echo: t.echo, Body: body})
		if err != nil {
			m.cfg.Log.WithError(err).Error("news were not encoded")
			return
		}
		if _, err := m.cfg.Conn.WriteToUDP(data, t.address); err != nil {
			m.cfg.Log.WithError(err).WithField("to", t.address.String()).Debug("news were not sent")
		}
	}
}

func (m *Mesh) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := m.cfg.Conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			m.cfg.Log.WithError(err).Debug("news were not read")
			time.Sleep(Interval)
			continue
		}
		m.receive(buf[:n])
	}
}

func (m *Mesh) receive(data []byte) {
	var e envelope
	var n News
	if err := msgpack.Unmarshal(data, &e); err != nil {
		m.cfg.Log.WithError(err).Debug("news were not decoded")
		return
	}
	if err := msgpack.Unmarshal(e.Body, &n); err != nil {
		m.cfg.Log.WithError(err).Debug("news were not decoded")
		return
	}
	m.mu.Lock()
	p := m.peers[n.VM]
	if p == nil || p.incarnation == e.Incarnation && e.Sent <= p.sent {
		m.mu.Unlock()
		return
	}
	p.incarnation, p.sent, p.heard = e.Incarnation, e.Sent, boottime.Now()
	reply := target{p.address, p.sent, p.incarnation}
	m.mu.Unlock()
	since := boottime.Time(0)
	if e.EchoIncarnation == m.incarnation {
		since = e.Echo
	}
	m.cfg.Receive(n, since)
	if n.Urgent {
		// The answer asks for none, or two urgent VMs would go on without end.
		m.send([]target{reply}, false)
	}
}

// encode writes structures as arrays: names of fields would be half of a datagram.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	err := e.Encode(v)
	return b.Bytes(), err
}
