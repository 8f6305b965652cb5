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

// outcome is the fate of a commit as far as the verdicts tell.
type outcome uint8

const (
	pending outcome = iota
	acknowledged
	impossible
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

// count decides on a commit from the verdicts of all instances of the group.
func count(verdicts []verdict) outcome {
	var yes, no int
	for _, v := range verdicts {
		switch v {
		case confirmed:
			yes++
		case refused:
			no++
		}
	}
	need := backend.Majority(len(verdicts))
	switch {
	case yes >= need:
		return acknowledged
	case len(verdicts)-no < need:
		return impossible
	}
	return pending
}

// commit is one write that waits for a majority.
type commit struct {
	position position.Position
	verdicts []verdict
	done     chan error // capacity 1
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
	c := &commit{position: p, verdicts: make([]verdict, s.size), done: make(chan error, 1)}
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
		if c.verdicts[instance] != undecided {
			continue
		}
		c.verdicts[instance] = judge(status, c.position)
		if c.verdicts[instance] == undecided {
			continue
		}
		changed = true
		s.settle(c)
	}
	return changed
}

func (s *commitSet) settle(c *commit) {
	switch count(c.verdicts) {
	case acknowledged:
		c.done <- nil
	case impossible:
		c.done <- errkind.New(errkind.OutcomeUnknown, "a higher term stands over the write at %s", c.position)
	default:
		return
	}
	delete(s.waiting, c)
}
