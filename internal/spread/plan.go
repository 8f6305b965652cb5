// Package spread decides how news such as a configuration version reaches every
// VM: a few readers of each failure domain poll the platform, and the news goes
// on inside the domain over trees of bounded degree, one below each reader. The
// package also measures this way against three others in virtual time.
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
	// FanOut is the number of VMs to which one VM forwards in one tree.
	FanOut = 4
)

// Role is the part of one VM in spreading. All VMs that hold the same members
// work out roles that fit together; while they differ, news may take another
// tree or wait for the next Ask.
type Role struct {
	// Tree is the tree that the VM is the root of, as a reader; -1 for others.
	Tree int
	// Readers are the readers of the VM's failure domain in the order of trees.
	Readers []fleet.Member
	// Children are the VMs to forward to, by tree.
	Children [][]fleet.Member
	// Parents are the VMs that forward to this one, by tree; empty for a reader.
	Parents []fleet.Member
	// RemoteReaders is one reader of each other failure domain, for a reader that
	// cannot reach the platform.
	RemoteReaders []fleet.Member
}

// IsReader reports whether the VM polls the platform.
func (r Role) IsReader() bool { return r.Tree >= 0 }

// AssignRole returns the role of the VM among the members. Only alive members have
// one, except that self always counts as alive.
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

// addTree adds the VM's place in one tree: the root and then the rest in an
// order of their own, laid out as a heap of degree FanOut.
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

// remoteReaders spreads the readers of a domain over the readers of the others.
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
