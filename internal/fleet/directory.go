package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/services"
)

// Directory is the read-only membership view for the rest of the process. It is
// safe for concurrent use; reads take no lock.
type Directory struct {
	current atomic.Pointer[snapshot]

	mu       sync.Mutex // guards watchers
	watchers []func()
}

// snapshot is immutable except for its cache of owners.
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

// NewDirectory returns a directory with a fixed list of members, for tests and
// measurements. Fleet maintains its own.
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

// Members returns all members that have been observed, including self, ordered by
// id. The caller must not modify the slice.
func (d *Directory) Members() []Member { return d.current.Load().members }

// Alive returns the members that are alive and not leaving, ordered by id. The
// caller must not modify the slice.
func (d *Directory) Alive() []Member { return d.current.Load().alive }

// Self returns the member entry of the local VM.
func (d *Directory) Self() Member { return d.current.Load().self }

// IsReady reports whether the initial membership is complete: the platform's list
// contains this VM (or settleTimeout has passed without it), and every listed VM has
// either been observed or been declared dead. Before that, Owners may assign this VM
// instances that belong to VMs not yet observed.
func (d *Directory) IsReady() bool { return d.current.Load().ready }

// Owners returns the VMs that own the instance, that is, hold its connection pool:
// the first k members by rendezvous hashing on the instance id. Candidates are the
// alive, not leaving members of the instance's failure domain, or of all domains if
// that domain has none. The caller must not modify the slice.
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

// Rank orders the members by rendezvous hashing for the key. Removing a member
// reassigns only the keys for which it ranked first.
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

// Watch registers a callback that runs after each change of the members, their states
// or their incarnations. It runs on the fleet's actor and must not block.
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
