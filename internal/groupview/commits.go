package groupview

import (
	"sync"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// ackState is what one instance has reported about one commit. Any state other than
// ackPending is final: a log entry can only be discarded under a higher fence, and
// fences never decrease.
type ackState uint8

const (
	ackPending ackState = iota
	ackConfirmed
	ackRejected
)

// ackStateOf returns the ackState of an instance with the status for a commit at p.
func ackStateOf(s backend.Status, p position.Position) ackState {
	switch {
	case s.Confirms(p):
		return ackConfirmed
	case s.Fence > p.Term:
		return ackRejected
	}
	return ackPending
}

// Outcome is the outcome of a commit according to the statuses observed so far.
type Outcome uint8

// The outcomes. Impossible means that higher fences make a majority impossible; the
// write may still survive a failover or be lost.
const (
	Pending Outcome = iota
	Acknowledged
	Impossible
)

// Tally counts the instances that confirm one commit.
type Tally struct {
	position position.Position
	acks     []ackState
}

// NewTally returns an empty tally for the commit at p in a group of size instances.
func NewTally(p position.Position, size int) *Tally {
	return &Tally{position: p, acks: make([]ackState, size)}
}

// Observe records a status of the instance with index i and reports whether it changed
// the tally.
func (t *Tally) Observe(i int, s backend.Status) bool {
	if t.acks[i] != ackPending {
		return false
	}
	t.acks[i] = ackStateOf(s, t.position)
	return t.acks[i] != ackPending
}

// Outcome returns the outcome of the commit according to the recorded statuses.
func (t *Tally) Outcome() Outcome {
	var confirmations, rejections int
	for _, v := range t.acks {
		switch v {
		case ackConfirmed:
			confirmations++
		case ackRejected:
			rejections++
		}
	}
	quorum := backend.Majority(len(t.acks))
	switch {
	case confirmations >= quorum:
		return Acknowledged
	case len(t.acks)-rejections < quorum:
		return Impossible
	}
	return Pending
}

// commit is a write that waits for a majority.
type commit struct {
	*Tally
	done chan error // capacity 1
}

// commitSet holds the waiting commits. Its mutex guards the set and the tallies.
type commitSet struct {
	size int

	mu      sync.Mutex
	waiting map[*commit]bool
}

func newCommitSet(size int) *commitSet {
	return &commitSet{size: size, waiting: map[*commit]bool{}}
}

func (s *commitSet) add(p position.Position) *commit {
	c := &commit{Tally: NewTally(p, s.size), done: make(chan error, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[c] = true
	return c
}

func (s *commitSet) remove(c *commit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, c)
}

// lowestPending returns the lowest position that the instance has neither confirmed nor
// rejected.
func (s *commitSet) lowestPending(instance int) (position.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var low position.Position
	found := false
	for c := range s.waiting {
		if c.acks[instance] == ackPending && (!found || c.position.Compare(low) < 0) {
			low, found = c.position, true
		}
	}
	return low, found
}

// observe applies a status to every waiting commit and resolves those with a final
// outcome. It reports whether any tally changed.
func (s *commitSet) observe(instance int, status backend.Status) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for c := range s.waiting {
		if c.Observe(instance, status) {
			changed = true
			s.resolve(c)
		}
	}
	return changed
}

func (s *commitSet) resolve(c *commit) {
	switch c.Outcome() {
	case Acknowledged:
		c.done <- nil
	case Impossible:
		c.done <- errkind.New(errkind.OutcomeUnknown, "a higher term stands over the write at %s", c.position)
	default:
		return
	}
	delete(s.waiting, c)
}
