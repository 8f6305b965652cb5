package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
)

const (
	// maxContactAge is how long after the store last answered a VM serves its copies to
	// others. The VM that others read from queries the store at least every 1.2 s.
	maxContactAge = 3 * time.Second
	// maxRelayedContactAge is the same for a VM that reads from another one, which reports its
	// last contact with the store in each answer.
	maxRelayedContactAge = maxContactAge + relayWatchWait
	// maxDeletedRows bounds the number of deleted rows that a copy keeps.
	maxDeletedRows = 1024
)

// Copies holds copies of the tables that this VM follows, for VMs that read them from it
// instead of from the store. The mutex guards the fields.
type Copies struct {
	mu           sync.Mutex
	tables       map[string]*tableCopy
	storeContact boottime.Time // when the last answered call of the store was sent
	// relayedContact is the last contact with the store of the VM that this one reads from.
	relayedContact boottime.Time
}

// tableCopy holds the rows of one table as of a version. Deleted rows are kept, so that it
// includes all changes after minVersion.
type tableCopy struct {
	rows                map[string]Row
	deleted             int
	minVersion, version Version
	// proved is a time up to which all changes are included, 0 if none is known.
	proved  boottime.Time
	changed chan struct{}
}

// NewCopies returns an empty set of copies.
func NewCopies() *Copies { return &Copies{tables: map[string]*tableCopy{}} }

// recordStoreContact records that the store has answered a call sent at the given time.
func (c *Copies) recordStoreContact(at boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeContact = max(c.storeContact, at)
}

// recordRelayedContact records when the VM that this one reads from had contact with the
// store. The time itself is relayed, so that VMs that read from each other in a loop stop
// serving their copies.
func (c *Copies) recordRelayedContact(at boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relayedContact = max(c.relayedContact, at)
}

// reset replaces the whole table as of the version.
func (c *Copies) reset(table string, rows []Row, version Version, proved boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.tables[table]
	t := &tableCopy{rows: make(map[string]Row, len(rows)), minVersion: version, version: version, proved: proved, changed: make(chan struct{})}
	for _, r := range rows {
		t.rows[r.Key] = r
	}
	c.tables[table] = t
	if old != nil {
		close(old.changed)
	}
}

// update applies the changes up to the version.
func (c *Copies) update(table string, rows []Row, version Version, proved boottime.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[table]
	if t == nil {
		return
	}
	for _, r := range rows {
		if r.Version <= t.rows[r.Key].Version {
			continue
		}
		t.rows[r.Key] = r
		if r.Deleted {
			t.deleted++
		}
	}
	t.version, t.proved = max(t.version, version), max(t.proved, proved)
	if t.deleted > maxDeletedRows {
		t.dropDeleted()
	}
	if len(rows) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// dropDeleted drops the deleted rows. VMs with an older version have to read the whole table
// again.
func (t *tableCopy) dropDeleted() {
	for key, r := range t.rows {
		if r.Deleted {
			delete(t.rows, key)
		}
	}
	t.deleted, t.minVersion = 0, t.version
}

// table returns the copy if it may be served to other VMs. The mutex is held.
func (c *Copies) table(name string) (*tableCopy, error) {
	if age := boottime.Since(c.storeContact); age > maxContactAge && boottime.Since(c.relayedContact) > maxRelayedContactAge {
		return nil, errkind.New(errkind.PlatformUnavailable, "the store answered last %d ms ago", age.Milliseconds())
	}
	t := c.tables[name]
	if t == nil {
		return nil, errkind.New(errkind.PlatformUnavailable, "table %s is not followed", name)
	}
	return t, nil
}

// existingRows returns the rows that are not deleted.
func (t *tableCopy) existingRows() []Row { return t.changedSince(0, false) }

// changedSince returns the rows that changed after the version, in the order of versions.
func (t *tableCopy) changedSince(version Version, includeDeleted bool) []Row {
	var rows []Row
	for _, r := range t.rows {
		if r.Version > version && (includeDeleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	return rows
}

// TableArgs names a table and, for Watch, the caller's version and how long to wait for a
// change.
type TableArgs struct {
	Table string
	After Version
	Wait  time.Duration
}

// TableReply carries rows as of a version. If Dated is set, they include all changes up to a
// time that is given by Proved, relative to the arrival of the call and usually negative.
// Relative times make the reply independent of clock skew.
type TableReply struct {
	Rows    []Row
	Version Version
	Dated   bool
	Proved  time.Duration
	// Contact is TableState.Contact, relative to the arrival of the call.
	Contact time.Duration
}

// fill sets the reply from the copy and the last contact with the store, relative to the
// arrival of the call.
func (r *TableReply) fill(t *tableCopy, rows []Row, contact, arrived boottime.Time) {
	r.Rows, r.Version, r.Dated, r.Proved = rows, t.version, t.proved != 0, t.proved.Sub(arrived)
	r.Contact = contact.Sub(arrived)
}

// CopyService is the net/rpc service for Copies, registered as "Tables".
type CopyService struct{ copies *Copies }

// NewCopyService returns the service.
func NewCopyService(c *Copies) *CopyService { return &CopyService{c} }

// Rows returns all rows of a table.
func (s *CopyService) Rows(args *TableArgs, reply *TableReply) error {
	arrived := boottime.Now()
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	t, err := s.copies.table(args.Table)
	if err != nil {
		return peer.Encode(err)
	}
	reply.fill(t, t.existingRows(), max(s.copies.storeContact, s.copies.relayedContact), arrived)
	return nil
}

// Watch returns the changes after a version. If there are none it waits for one.
func (s *CopyService) Watch(args *TableArgs, reply *TableReply) error {
	arrived := boottime.Now()
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	for expired := false; ; {
		s.copies.mu.Lock()
		t, err := s.copies.table(args.Table)
		if err == nil && args.After < t.minVersion {
			err = errkind.New(errkind.HistoryGone, "copy of %s begins at %s", args.Table, t.minVersion)
		}
		if err != nil {
			s.copies.mu.Unlock()
			return peer.Encode(err)
		}
		reply.fill(t, t.changedSince(args.After, true), max(s.copies.storeContact, s.copies.relayedContact), arrived)
		changed := t.changed
		s.copies.mu.Unlock()
		if len(reply.Rows) > 0 || expired {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
	}
}

// Relay reads tables from the copies of another VM.
type Relay struct {
	Calls peer.Caller
	// Source returns the VM to read from; ok is false if this VM reads from the store.
	Source func() (address string, ok bool)
}

// Rows returns all rows of the table.
func (r *Relay) Rows(ctx context.Context, address, table string) (TableState, error) {
	return r.call(ctx, address, "Tables.Rows", &TableArgs{Table: table})
}

// Watch returns the changes after the version.
func (r *Relay) Watch(ctx context.Context, address, table string, after Version, wait time.Duration) (TableState, error) {
	return r.call(ctx, address, "Tables.Watch", &TableArgs{Table: table, After: after, Wait: wait})
}

func (r *Relay) call(ctx context.Context, address, method string, args *TableArgs) (TableState, error) {
	var reply TableReply
	sent := boottime.Now()
	if err := r.Calls.Call(ctx, address, method, args, &reply); err != nil {
		return TableState{}, err // a late answer may still be written to the reply
	}
	a := TableState{Rows: reply.Rows, Version: reply.Version, Contact: max(sent.Add(reply.Contact), 0)}
	if reply.Dated {
		// The call arrived no earlier than it was sent, so this time is a lower bound.
		a.Proved = max(sent.Add(reply.Proved), 0)
	}
	return a, nil
}
