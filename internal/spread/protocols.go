package spread

import (
	"time"

	"chicoryline/internal/fleet"
)

// pollInterval is the time between two polls by a VM in pollProtocol, and between two
// version notices of each pair of VMs in meshProtocol.
const pollInterval = time.Second

// pollProtocol makes every VM poll the platform.
type pollProtocol struct{}

func (pollProtocol) interval() time.Duration          { return pollInterval }
func (pollProtocol) tick(s *sim, node int)            { s.readPlatform(node, platformRow) }
func (pollProtocol) commit(_ *sim, _ int)             {}
func (pollProtocol) receive(s *sim, n int, m message) { handlePlatformAnswer(s, n, m) }

// handlePlatformAnswer requests the object if the row has a newer version, stores the
// version if the message is the object, and reports whether the node's version changed.
func handlePlatformAnswer(s *sim, node int, m message) bool {
	switch {
	case m.failed:
		return false
	case m.kind == platformRow && m.version > s.version[node]:
		s.readPlatform(node, platformObject)
		return false
	case m.kind == platformObject:
		return s.learnVersion(node, m.version)
	default:
		return false
	}
}

// meshProtocol pushes the change to all VMs; in addition, each pair periodically
// compares versions.
type meshProtocol struct{}

func (meshProtocol) interval() time.Duration { return pollInterval }
func (meshProtocol) tick(s *sim, node int)   { sendToAll(s, node, versionNotice) }
func (meshProtocol) commit(s *sim, node int) { sendToAll(s, node, patch) }

func (meshProtocol) receive(s *sim, node int, m message) {
	switch {
	case m.kind == patch:
		s.learnVersion(node, m.version)
	case m.version < s.version[node]:
		s.send(node, m.from, message{kind: patch})
	}
}

func sendToAll(s *sim, node int, k messageKind) {
	for to := range s.members {
		if to != node {
			s.send(node, to, message{kind: k})
		}
	}
}

// twoLevelProtocol is the protocol of the product, with the roles of AssignRole: readers
// poll the platform and push changes over their trees, and the other VMs periodically
// send a version request to a parent.
type twoLevelProtocol struct {
	roles []indexRole
	state []twoLevelState
}

const (
	// readInterval is the time between two polls by a reader.
	readInterval = 500 * time.Millisecond
	// parentRequestPeriod is the number of read intervals between two version requests of
	// a VM that is not a reader to one of its parents.
	parentRequestPeriod = 2
)

// indexRole is a Role with node indices instead of members.
type indexRole struct {
	tree     int
	children [][]int
	parents  []int
	fallback []int // nodes that a reader asks if it cannot reach the platform
}

type twoLevelState struct {
	ticks     int
	forwarded []int // last version forwarded, by tree
}

func newTwoLevel(s *sim) *twoLevelProtocol {
	w := &twoLevelProtocol{state: make([]twoLevelState, len(s.members))}
	index := map[string]int{}
	for i, m := range s.members {
		index[m.VM.ID] = i
	}
	for i, m := range s.members {
		role := AssignRole(s.members, m)
		r := indexRole{tree: role.Tree, parents: indices(index, role.Parents)}
		for _, children := range role.Children {
			r.children = append(r.children, indices(index, children))
		}
		for _, reader := range indices(index, role.Readers) {
			if reader != i {
				r.fallback = append(r.fallback, reader)
			}
		}
		r.fallback = append(r.fallback, indices(index, role.RemoteReaders)...)
		w.roles = append(w.roles, r)
		w.state[i].forwarded = make([]int, len(role.Children))
	}
	return w
}

func (*twoLevelProtocol) interval() time.Duration { return readInterval }
func (*twoLevelProtocol) commit(_ *sim, _ int)    {}

func (w *twoLevelProtocol) tick(s *sim, node int) {
	role, state := &w.roles[node], &w.state[node]
	state.ticks++
	if role.tree >= 0 {
		s.readPlatform(node, platformRow)
		return
	}
	if (state.ticks+node)%parentRequestPeriod == 0 {
		s.send(node, role.parents[state.ticks/parentRequestPeriod%len(role.parents)], message{kind: versionRequest})
	}
}

func (w *twoLevelProtocol) receive(s *sim, node int, m message) {
	switch m.kind {
	case platformRow, platformObject:
		if m.failed {
			w.requestFromFallback(s, node)
		} else if handlePlatformAnswer(s, node, m) {
			w.forward(s, node, w.roles[node].tree)
		}
	case versionRequest:
		reply := message{kind: versionNotice}
		if m.version < s.version[node] {
			reply = message{kind: patch, tree: -1}
		}
		s.send(node, m.from, reply)
	case patch:
		if s.learnVersion(node, m.version) && m.tree < 0 {
			w.forwardAll(s, node)
		} else if m.tree >= 0 {
			w.forward(s, node, m.tree)
		}
	}
}

func (w *twoLevelProtocol) requestFromFallback(s *sim, node int) {
	fallback := w.roles[node].fallback
	if len(fallback) > 0 {
		s.send(node, fallback[w.state[node].ticks%len(fallback)], message{kind: versionRequest})
	}
}

func (w *twoLevelProtocol) forwardAll(s *sim, node int) {
	for tree := range w.roles[node].children {
		w.forward(s, node, tree)
	}
}

// forward sends the node's version to its children in the tree, unless it did so before.
func (w *twoLevelProtocol) forward(s *sim, node, tree int) {
	state := &w.state[node]
	if state.forwarded[tree] >= s.version[node] {
		return
	}
	state.forwarded[tree] = s.version[node]
	for _, child := range w.roles[node].children[tree] {
		s.send(node, child, message{kind: patch, tree: tree})
	}
}

func indices(index map[string]int, members []fleet.Member) []int {
	var list []int
	for _, m := range members {
		list = append(list, index[m.VM.ID])
	}
	return list
}
