package dbinstance

import (
	"context"
	"time"
)

// lockKey identifies a lock: a row by its primary key, a row without a primary key by
// its id, or a table if both key and row are zero.
type lockKey struct {
	table string
	key   Value
	row   uint64
}

// rowLock is a held lock. released is closed when the holder releases it.
type rowLock struct {
	holder   *Tx
	released chan struct{}
}

// lock acquires the lock for the transaction and reports whether it had to wait. The
// caller holds the store's mutex; lock unlocks it while it waits.
func (tx *Tx) lock(ctx context.Context, key lockKey) (waited bool, err error) {
	s := tx.store
	timeout := time.NewTimer(s.lockTimeout)
	defer timeout.Stop()
	for {
		held, ok := s.locks[key]
		if ok && held.holder == tx {
			return waited, nil
		}
		if !ok {
			s.locks[key] = &rowLock{holder: tx, released: make(chan struct{})}
			tx.locks = append(tx.locks, key)
			return waited, nil
		}
		if tx.wouldDeadlock(held.holder) {
			return waited, sqlErrorf(codeDeadlock, "deadlock detected")
		}
		waited = true
		if err := tx.awaitRelease(ctx, held, timeout.C); err != nil {
			return waited, err
		}
	}
}

// awaitRelease waits until the lock is released. The caller holds the store's mutex,
// which is unlocked during the wait.
func (tx *Tx) awaitRelease(ctx context.Context, held *rowLock, timeout <-chan time.Time) error {
	s := tx.store
	tx.waitsFor = held.holder
	s.mu.Unlock()
	var err error
	select {
	case <-held.released:
	case <-tx.aborted:
	case <-ctx.Done():
		err = sqlErrorf(codeQueryCanceled, "canceling statement due to user request")
	case <-timeout:
		err = sqlErrorf(codeLockTimeout, "canceling statement due to lock timeout")
	}
	s.mu.Lock()
	tx.waitsFor = nil
	if tx.failure != nil {
		return tx.failure
	}
	return err
}

// wouldDeadlock reports whether the holder waits, directly or through other
// transactions, for a lock of tx.
func (tx *Tx) wouldDeadlock(holder *Tx) bool {
	for holder != nil {
		if holder == tx {
			return true
		}
		holder = holder.waitsFor
	}
	return false
}

// releaseLocks releases all locks and removes the transaction from the store's open
// writers. The caller holds the store's mutex.
func (tx *Tx) releaseLocks() {
	for _, key := range tx.locks {
		close(tx.store.locks[key].released)
		delete(tx.store.locks, key)
	}
	tx.locks = nil
	delete(tx.store.writers, tx)
}
