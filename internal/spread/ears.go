package spread

import (
	"math"
	"math/bits"
	"time"
)

// earsInterval is the time between two steps of a VM in earsProtocol.
const earsInterval = 100 * time.Millisecond

// earsProtocol is the epidemic gossip protocol with progress control of Georgiou,
// Gilbert, Guerraoui and Kowalski, "On the Complexity of Asynchronous Gossip" (PODC
// 2008), with a single rumor, the new version. A VM sends the version number and its
// informed-list to random VMs until the list contains all VMs, continues for the
// paper's shut-down phase, and then stops. A receiver that lacks the version fetches it.
type earsProtocol struct {
	state         []earsState
	shutdownLimit int // length of the shut-down phase in steps
}

// earsState is the protocol state of one node.
type earsState struct {
	informedNodes bitmap
	awake         bool
	shutdownSteps int
}

func newEARS(n int) *earsProtocol {
	alive := float64(n) * (1 - crashedVMPercent/100.0)
	w := &earsProtocol{state: make([]earsState, n), shutdownLimit: int(math.Ceil(float64(n) / alive * math.Log2(float64(n))))}
	for i := range w.state {
		w.state[i].informedNodes = newBitmap(n)
	}
	return w
}

func (*earsProtocol) interval() time.Duration { return earsInterval }

func (w *earsProtocol) commit(_ *sim, node int) {
	w.state[node].awake = true
	w.state[node].informedNodes.set(node)
}

func (w *earsProtocol) tick(s *sim, node int) {
	state := &w.state[node]
	if !state.awake {
		return
	}
	if state.informedNodes.count() == len(w.state) {
		state.shutdownSteps++
	} else {
		state.shutdownSteps = 0
	}
	if state.shutdownSteps > w.shutdownLimit {
		state.awake = false
		return
	}
	to := s.random.Intn(len(w.state))
	state.informedNodes.set(to)
	if to != node {
		s.send(node, to, message{kind: rumorNotice, informed: state.informedNodes.clone()})
	}
}

func (w *earsProtocol) receive(s *sim, node int, m message) {
	switch m.kind {
	case rumorNotice:
		state := &w.state[node]
		state.informedNodes.set(node)
		state.informedNodes.merge(m.informed)
		if m.version > s.version[node] {
			s.send(node, m.from, message{kind: rumorFetch})
		}
		state.awake = state.awake || state.informedNodes.count() < len(w.state)
	case rumorFetch:
		s.send(node, m.from, message{kind: patch})
	case patch:
		if s.learnVersion(node, m.version) {
			w.state[node].awake = true
		}
	}
}

// bitmap is a set of node indices.
type bitmap []uint64

const wordBits = 64

func newBitmap(n int) bitmap { return make(bitmap, (n+wordBits-1)/wordBits) }

func (b bitmap) set(i int)     { b[i/wordBits] |= 1 << (i % wordBits) }
func (b bitmap) clone() bitmap { return append(bitmap(nil), b...) }

func (b bitmap) merge(other bitmap) {
	for i := range b {
		b[i] |= other[i]
	}
}

func (b bitmap) count() int {
	n := 0
	for _, word := range b {
		n += bits.OnesCount64(word)
	}
	return n
}
