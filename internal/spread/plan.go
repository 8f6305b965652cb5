// Package spread decides how updates such as a new configuration version are distributed
// to all VMs: a few VMs of each failure domain, the readers, poll the platform, and each
// reader forwards updates within its domain over a tree of bounded degree. The package
// also compares this protocol with three others in a simulation in virtual time.
package spread

import (
	"cmp"
	"slices"
	"strconv"

	"chicoryline/internal/fleet"
)

const (
	// ReadersPerDomain is the number of VMs of a failure domain that poll the
	// platform. Each is the root of a tree over the rest of its domain.
	ReadersPerDomain = 3
	// FanOut is the maximum number of VMs to which one VM forwards in one tree.
	FanOut = 4
)

// Role is the role of one VM in the distribution of updates. VMs with the same
// membership view compute consistent roles. While their views differ, an update may
// arrive over another tree or only with the next version request to a parent.
type Role struct {
	// Tree is the index of the tree whose root is this VM; -1 if it is not a reader.
	Tree int
	// Readers are the readers of the VM's failure domain, indexed by tree.
	Readers []fleet.Member
	// Children are the VMs to forward to, indexed by tree.
	Children [][]fleet.Member
	// Parents are the VMs that forward to this one, indexed by tree; empty for a reader.
	Parents []fleet.Member
	// RemoteReaders holds one reader of each other failure domain. A reader that cannot
	// reach the platform requests updates from them.
	RemoteReaders []fleet.Member
}

// IsReader reports whether the VM polls the platform.
func (r Role) IsReader() bool { return r.Tree >= 0 }

// AssignRole returns the role of the VM self among the members. Members that are not
// alive are ignored, except that self always counts as alive.
func AssignRole(members []fleet.Member, self fleet.Member) Role {
	domains := map[string][]fleet.Member{self.VM.Domain: {self}}
	for _, m := range members {
		if m.State == fleet.Alive && m.VM.ID != self.VM.ID {
			domains[m.VM.Domain] = append(domains[m.VM.Domain], m)
		}
	}
	own := domains[self.VM.Domain]
	readers := readersOf(self.VM.Domain, own)
	role := Role{Tree: indexOf(readers, self), Readers: readers}
	rest := slices.DeleteFunc(slices.Clone(own), func(m fleet.Member) bool { return indexOf(readers, m) >= 0 })
	for tree, root := range readers {
		role.addTree(tree, root, rest, self)
	}
	role.RemoteReaders = remoteReaders(domains, self, max(0, role.Tree))
	return role
}

// addTree adds the VM's children and parent in one tree. The tree is laid out as a heap
// of degree FanOut: the root, followed by the rest in the tree's own rendezvous order.
func (r *Role) addTree(tree int, root fleet.Member, rest []fleet.Member, self fleet.Member) {
	key := self.VM.Domain + "/" + strconv.Itoa(tree)
	order := append([]fleet.Member{root}, fleet.Rank(key, rest)...)
	at := indexOf(order, self)
	var children []fleet.Member
	if at >= 0 {
		first := FanOut*at + 1
		children = order[min(first, len(order)):min(first+FanOut, len(order))]
	}
	r.Children = append(r.Children, children)
	if at > 0 {
		r.Parents = append(r.Parents, order[(at-1)/FanOut])
	}
}

func readersOf(domain string, members []fleet.Member) []fleet.Member {
	ranked := fleet.Rank("readers/"+domain, members)
	return ranked[:min(ReadersPerDomain, len(ranked))]
}

// remoteReaders returns one reader of each other domain. The readers of a domain are
// mapped to different readers of the other domains where possible.
func remoteReaders(domains map[string][]fleet.Member, self fleet.Member, tree int) []fleet.Member {
	var list []fleet.Member
	for domain, members := range domains {
		if domain != self.VM.Domain {
			readers := readersOf(domain, members)
			list = append(list, readers[tree%len(readers)])
		}
	}
	slices.SortFunc(list, func(a, b fleet.Member) int { return cmp.Compare(a.VM.Domain, b.VM.Domain) })
	return list
}

func indexOf(members []fleet.Member, m fleet.Member) int {
	return slices.IndexFunc(members, func(other fleet.Member) bool { return other.VM.ID == m.VM.ID })
}
