package dbinstance

import (
	"context"
	"maps"
	"slices"

	"chicoryline/internal/backend"
	"chicoryline/internal/position"
)

// Tx is a transaction with isolation level read committed. It reads committed rows and
// its own changes, locks the rows that it writes, and applies its changes at Commit.
// It is not safe for concurrent use; the store's mutex guards its fields.
type Tx struct {
	store    *Store
	readOnly bool
	// term is the primary's term at the first write of the transaction.
	term    uint64
	changes []Change
	// overlay holds the tables that the transaction has changed, as it sees them.
	overlay map[string]*overlayTable
	locks   []lockKey

	// waitsFor is the holder of the lock that the transaction waits for, or nil.
	waitsFor *Tx
	// failure is set and aborted is closed when the instance aborts the transaction.
	failure error
	aborted chan struct{}
	ended   bool
}

// overlayTable is a table with the changes of one transaction. A nil row is deleted.
type overlayTable struct {
	// base provides the rows that the transaction has not changed; nil if it dropped
	// the table.
	base *table
	// origin is the committed table at the transaction's first change of it.
	origin *table
	rows   map[uint64][]Value
	// keys maps the primary keys of the changed rows that are not deleted to their ids.
	keys map[Value]uint64
}

// Begin opens a transaction.
func (s *Store) Begin(readOnly bool) *Tx {
	return &Tx{store: s, readOnly: readOnly, overlay: map[string]*overlayTable{}, aborted: make(chan struct{})}
}

// Commit appends the changes to the instance's log, applies them and returns their
// position, which is zero if there are none.
func (tx *Tx) Commit() (position.Position, error) {
	s := tx.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if tx.ended {
		return position.Position{}, sqlErrorf(codeInternal, "transaction has ended")
	}
	tx.ended = true
	defer tx.releaseLocks()
	if tx.failure != nil {
		return position.Position{}, tx.failure
	}
	if len(tx.changes) == 0 {
		return position.Position{}, nil
	}
	if s.role != backend.Primary || s.fence != tx.term {
		return position.Position{}, errTransactionFenced()
	}
	for name, o := range tx.overlay {
		if s.tables[name] != o.origin {
			return position.Position{}, sqlErrorf(codeSerializationFailure, "relation was changed by a concurrent transaction")
		}
	}
	return s.appendChanges(tx.changes), nil
}

// hasChanges reports whether the transaction has changes.
func (tx *Tx) hasChanges() bool {
	tx.store.mu.Lock()
	defer tx.store.mu.Unlock()
	return len(tx.changes) > 0
}

// Rollback ends the transaction and discards its changes. After Commit it has no
// effect.
func (tx *Tx) Rollback() {
	tx.store.mu.Lock()
	defer tx.store.mu.Unlock()
	if !tx.ended {
		tx.ended = true
		tx.releaseLocks()
	}
}

// abort aborts the transaction on behalf of the instance. The caller holds the store's
// mutex.
func (tx *Tx) abort(err error) {
	if tx.failure == nil {
		tx.failure = err
		close(tx.aborted)
	}
	tx.releaseLocks()
}

func errTransactionFenced() error {
	return sqlErrorf(codeAdminShutdown, "terminating transaction because the instance was fenced")
}

// beginWrite checks that the transaction may write and registers it as a writer. The
// caller holds the store's mutex.
func (tx *Tx) beginWrite() error {
	s := tx.store
	switch {
	case tx.failure != nil:
		return tx.failure
	case s.role != backend.Primary:
		return sqlErrorf(codeReadOnly, "cannot write on a replica")
	case tx.readOnly:
		return sqlErrorf(codeReadOnly, "cannot write in a read-only transaction")
	}
	if _, ok := s.writers[tx]; !ok {
		s.writers[tx] = struct{}{}
		tx.term = s.fence
	}
	return nil
}

// view returns the transaction's view of the table.
func (tx *Tx) view(name string) (*overlayTable, error) {
	if o, ok := tx.overlay[name]; ok {
		if o.base == nil {
			return nil, errUndefinedTable(name)
		}
		return o, nil
	}
	if t, ok := tx.store.tables[name]; ok {
		return &overlayTable{base: t}, nil
	}
	return nil, errUndefinedTable(name)
}

func errUndefinedTable(name string) error {
	return sqlErrorf(codeUndefinedTable, "relation %q does not exist", name)
}

// record adds a change to the transaction and to its view.
func (tx *Tx) record(c Change) {
	tx.changes = append(tx.changes, c)
	o, ok := tx.overlay[c.Table]
	if !ok {
		t := tx.store.tables[c.Table]
		o = &overlayTable{origin: t}
		o.reset(t)
		tx.overlay[c.Table] = o
	}
	switch c.Kind {
	case CreateTable:
		o.reset(newTable(c.Table, c.Columns))
	case DropTable:
		o.reset(nil)
	default:
		o.set(c.Row, c.Values)
	}
}

// reset discards the transaction's changes and sets the base table; a nil base means
// that the table is dropped.
func (o *overlayTable) reset(base *table) {
	o.base, o.rows, o.keys = base, map[uint64][]Value{}, map[Value]uint64{}
}

// set replaces the row with the id; a nil row deletes it.
func (o *overlayTable) set(id uint64, row []Value) {
	old := o.rows[id]
	o.rows[id] = row
	if o.base.key < 0 {
		return
	}
	if old != nil && o.keys[old[o.base.key]] == id {
		delete(o.keys, old[o.base.key])
	}
	if row != nil {
		o.keys[row[o.base.key]] = id
	}
}

// get returns the row with the id as the transaction sees it, or nil.
func (o *overlayTable) get(id uint64) []Value {
	if row, ok := o.rows[id]; ok {
		return row
	}
	return o.base.rows[id]
}

// byKey returns the id of the visible row with the primary key, or zero.
func (o *overlayTable) byKey(key Value) uint64 {
	if id, ok := o.keys[key]; ok {
		return id
	}
	id, ok := o.base.byKey[key]
	if _, changed := o.rows[id]; !ok || changed {
		return 0
	}
	return id
}

// ids returns the ids of the visible rows in order.
func (o *overlayTable) ids() []uint64 {
	set := maps.Clone(o.base.rows)
	for id, row := range o.rows {
		if row == nil {
			delete(set, id)
			continue
		}
		set[id] = row
	}
	return slices.Sorted(maps.Keys(set))
}

// lockRow locks a visible row. The caller holds the store's mutex.
func (tx *Tx) lockRow(ctx context.Context, o *overlayTable, id uint64, row []Value) (waited bool, err error) {
	key := lockKey{table: o.base.name, row: id}
	if o.base.key >= 0 {
		key = lockKey{table: o.base.name, key: row[o.base.key]}
	}
	return tx.lock(ctx, key)
}
