package groupview

import (
	"sync"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// verdict is what one instance has said of one commit. It is final once it is
// not undecided: a log entry stays until a higher fence, and fences only rise.
type verdict uint8

const (
	undecided verdict = iota
	confirmed
	refused
)

// judge returns the instance's verdict on a commit at p.
func judge(s backend.Status, p position.Position) verdict {
	switch {
	case s.Confirms(p):
		return confirmed
	case s.Fence > p.Term:
		return refused
	}
	return undecided
}

// Outcome is the fate of a commit as far as the instances have told.
type Outcome uint8

// The outcomes. Impossible means that higher fences rule a majority out: the
// write may or may not survive.
const (
	Pending Outcome = iota
	Acknowledged
	Impossible
)

// Tally counts the instances that confirm one commit.
type Tally struct {
	position position.Position
	verdicts []verdict
}

// NewTally returns an empty tally for the commit at p in a group of the size.
func NewTally(p position.Position, size int) *Tally {
	return &Tally{position: p, verdicts: make([]verdict, size)}
}

// Observe takes a status of the instance at the index and reports whether it
// changed the tally.
func (t *Tally) Observe(i int, s backend.Status) bool {
	if t.verdicts[i] != undecided {
		return false
	}
	t.verdicts[i] = judge(s, t.position)
	return t.verdicts[i] != undecided
}

// Outcome decides on the commit from what was observed.
func (t *Tally) Outcome() Outcome {
	var yes, no int
	for _, v := range t.verdicts {
		switch v {
		case confirmed:
			yes++
		case refused:
			no++
		}
	}
	need := backend.Majority(len(t.verdicts))
	switch {
	case yes >= need:
		return Acknowledged
	case len(t.verdicts)-no < need:
		return Impossible
	}
	return Pending
}

// commit is one write that waits for a majority.
type commit struct {
	*Tally
	done chan error // capacity 1
}

// commitSet holds the commits that wait. Its mutex guards the set.
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

// lowest returns the lowest position on which the instance has not decided.
func (s *commitSet) lowest(instance int) (position.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var low position.Position
	found := false
	for c := range s.waiting {
		if c.verdicts[instance] == undecided && (!found || c.position.Compare(low) < 0) {
			low, found = c.position, true
		}
	}
	return low, found
}

// observe applies a status to every waiting commit and ends those it decides.
// It reports whether any verdict changed.
func (s *commitSet) observe(instance int, status backend.Status) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for c := range s.waiting {
		if c.Observe(instance, status) {
			changed = true
			s.settle(c)
		}
	}
	return changed
}

func (s *commitSet) settle(c *commit) {
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
