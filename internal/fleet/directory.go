package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/services"
)

// Directory is the membership as the rest of the process reads it. It is safe
// for concurrent use; reads take no lock.
type Directory struct {
	current atomic.Pointer[snapshot]

	mu       sync.Mutex // guards watchers
	watchers []func()
}

// snapshot is immutable but for its cache of owners.
type snapshot struct {
	self    Member
	members []Member
	ready   bool
	alive   []Member
	domains map[string][]Member // alive members by failure domain
	owners  sync.Map            // ownerKey to []Member
}

type ownerKey struct {
	instance, domain string
	k                int
}

// NewDirectory returns a directory of the given members. Tests use it; Fleet
// keeps its own.
func NewDirectory(self Member, others ...Member) *Directory {
	d := &Directory{}
	d.publish(newSnapshot(self, others, true))
	return d
}

func newSnapshot(self Member, others []Member, ready bool) *snapshot {
	s := &snapshot{self: self, ready: ready, domains: map[string][]Member{}}
	s.members = append([]Member{self}, others...)
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.VM.ID, b.VM.ID) })
	for _, m := range s.members {
		if m.State == Alive {
			s.alive = append(s.alive, m)
			s.domains[m.VM.Domain] = append(s.domains[m.VM.Domain], m)
		}
	}
	return s
}

// Members returns all members that have been heard, self included, in the order
// of their ids. The caller must not change the slice.
func (d *Directory) Members() []Member { return d.current.Load().members }

// Alive returns the members that are alive and not leaving, in the order of
// their ids. The caller must not change the slice.
func (d *Directory) Alive() []Member { return d.current.Load().alive }

// Self returns the VM itself.
func (d *Directory) Self() Member { return d.current.Load().self }

// IsReady reports whether the start is over: the platform's list has shown this VM
// or has not for some seconds, and every VM of the list has been heard or given
// up. Before that, Owners may name this VM for too much.
func (d *Directory) IsReady() bool { return d.current.Load().ready }

// Owners returns the first k members of the instance's order by rendezvous
// hashing: the alive, not leaving members of the instance's failure domain, or
// of all domains if that one has none. The caller must not change the slice.
func (d *Directory) Owners(instance services.Instance, k int) []Member {
	s := d.current.Load()
	key := ownerKey{instance.ID, instance.Domain, k}
	if owners, ok := s.owners.Load(key); ok {
		return owners.([]Member)
	}
	candidates := s.domains[instance.Domain]
	if len(candidates) == 0 {
		candidates = s.alive
	}
	ranked := Rank(instance.ID, candidates)
	owners := slices.Clip(ranked[:max(0, min(k, len(ranked)))])
	s.owners.Store(key, owners)
	return owners
}

// Rank returns the members in the key's order by rendezvous hashing. Losing a
// member moves only the keys that it was first for.
func Rank(key string, members []Member) []Member {
	type scored struct {
		score  uint64
		member Member
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{xxhash.Sum64String(key + "\x00" + m.VM.ID), m}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.VM.ID, b.member.VM.ID))
	})
	ranked := make([]Member, len(list))
	for i, s := range list {
		ranked[i] = s.member
	}
	return ranked
}

// Watch calls back after each change of a member, its state or its incarnation.
// The callback must not block; it runs on the fleet's actor.
func (d *Directory) Watch(changed func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = append(d.watchers, changed)
}

func (d *Directory) publish(s *snapshot) { d.current.Store(s) }

func (d *Directory) notify() {
	d.mu.Lock()
	watchers := slices.Clone(d.watchers)
	d.mu.Unlock()
	for _, changed := range watchers {
		changed()
	}
}
