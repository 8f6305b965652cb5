package dbinstance

import (
	"sync"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// DefaultLockTimeout limits the wait for a row lock.
const DefaultLockTimeout = 10 * time.Second

// StoreConfig describes a new store.
type StoreConfig struct {
	// ID is the instance's id.
	ID string
	// InitialTerm is the fence at the start, at least 1; zero means 1.
	InitialTerm uint64
	// InitialPrimary makes the store the primary of InitialTerm.
	InitialPrimary bool
	// InitialSource is the primary that a replica initially replicates from.
	InitialSource string
	// LockTimeout limits the wait for a row lock; zero means DefaultLockTimeout.
	LockTimeout time.Duration
}

// Store is the state of one instance: its tables, its log, and its role in the group.
// It is safe for concurrent use; mu guards all fields below it.
type Store struct {
	id          string
	lockTimeout time.Duration

	mu   sync.Mutex
	role backend.Role
	// fence is the lowest term whose commands are accepted. A primary's own term equals
	// its fence.
	fence uint64
	// source is the primary that a replica replicates from, or empty.
	source string
	log    entryLog
	tables tableSet
	locks  map[lockKey]*rowLock
	// writers holds the open transactions that have written or locked rows.
	writers map[*Tx]struct{}
	// lastRow is the highest row id assigned or contained in the log.
	lastRow uint64
	// changed is closed and replaced at every change of log, fence, role or source.
	changed chan struct{}
}

// NewStore returns a store with an empty log. The log of the initial primary contains
// the promotion marker of the initial term.
func NewStore(cfg StoreConfig) *Store {
	s := &Store{
		id:          cfg.ID,
		lockTimeout: cfg.LockTimeout,
		role:        backend.Replica,
		fence:       max(cfg.InitialTerm, 1),
		source:      cfg.InitialSource,
		tables:      tableSet{},
		locks:       map[lockKey]*rowLock{},
		writers:     map[*Tx]struct{}{},
		changed:     make(chan struct{}),
	}
	if s.lockTimeout == 0 {
		s.lockTimeout = DefaultLockTimeout
	}
	if cfg.InitialPrimary {
		s.role, s.source = backend.Primary, ""
		s.appendChanges(nil)
	}
	return s
}

// ID returns the instance's id.
func (s *Store) ID() string { return s.id }

// appendChanges appends an entry at the primary's term to the log and applies it. The
// caller holds mu or is the constructor.
func (s *Store) appendChanges(changes []Change) position.Position {
	p := position.Position{Term: s.fence, Offset: uint64(len(s.log)) + 1}
	s.appendEntry(Entry{Position: p, Changes: changes})
	s.broadcast()
	return p
}

// appendEntry appends an entry to the log and applies it. The caller holds mu.
func (s *Store) appendEntry(e Entry) {
	s.log = append(s.log, e)
	s.tables.apply(e.Changes)
	for _, c := range e.Changes {
		s.lastRow = max(s.lastRow, c.Row)
	}
}

// truncate discards the entries after the offset and rebuilds the tables from
// the rest. The caller holds mu.
func (s *Store) truncate(offset uint64) {
	kept := s.log[:offset:offset]
	s.log, s.tables = nil, tableSet{}
	for _, e := range kept {
		s.appendEntry(e)
	}
}

// broadcast wakes all goroutines that wait for a change. The caller holds mu.
func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Entries returns a copy of the log, for tests.
func (s *Store) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Entry(nil), s.log...)
}
