package dbinstance

import (
	"sync"
	"time"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// DefaultLockTimeout bounds the wait for a row lock.
const DefaultLockTimeout = 10 * time.Second

// StoreConfig describes a new store.
type StoreConfig struct {
	// ID is the instance's id.
	ID string
	// InitialTerm is the fence at the start, at least 1; zero means 1.
	InitialTerm uint64
	// InitialPrimary makes the store the primary of InitialTerm.
	InitialPrimary bool
	// InitialSource is the primary that a replica follows from the start.
	InitialSource string
	// LockTimeout bounds the wait for a row lock; zero means DefaultLockTimeout.
	LockTimeout time.Duration
}

// Store is the state of one instance: its tables, its log and its place in the
// group. It is safe for concurrent use; mu guards all fields below it.
type Store struct {
	id          string
	lockTimeout time.Duration

	mu     sync.Mutex
	role   backend.Role
	fence  uint64
	source string
	log    entryLog
	tables tableSet
	locks  map[lockKey]*rowLock
	// writers holds the open transactions that have written or locked rows.
	writers map[*Tx]struct{}
	// lastRow is the highest row id given out or seen in the log.
	lastRow uint64
	// changed is closed and replaced on every change of log, fence, role or source.
	changed chan struct{}
}

// NewStore returns a store with an empty log, or with the promotion marker of
// the initial term at the initial primary.
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

// appendChanges writes an entry at the store's own term and applies it. The caller
// holds mu (or is the constructor).
func (s *Store) appendChanges(changes []Change) position.Position {
	p := position.Position{Term: s.fence, Offset: uint64(len(s.log)) + 1}
	s.appendEntry(Entry{Position: p, Changes: changes})
	s.broadcast()
	return p
}

// appendEntry adds an entry to the end of the log and applies it. The caller holds mu.
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

// broadcast wakes everyone who waits for a change. The caller holds mu.
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
