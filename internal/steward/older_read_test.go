package steward

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"chicoryline/internal/coord"
)

// slowReadStore answers a read with the rows that it had when the read began.
type slowReadStore struct {
	*fakeStore
	read, answer chan struct{}
}

func (s slowReadStore) Rows(ctx context.Context, table string) ([]coord.Row, coord.Version, error) {
	rows, version, err := s.fakeStore.Rows(ctx, table)
	close(s.read)
	<-s.answer
	return rows, version, err
}

// Guards against a late answer of the store that replaces what a newer row said of orders: writes
// to the new primary would be refused until the orders expire.
func TestLateReadDoesNotReviveFencedOrders(t *testing.T) {
	row := func(r record, n uint64) coord.Row {
		value, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return coord.Row{Table: Table, Key: "g", Value: value, Version: coord.NewVersion(1, n)}
	}
	store := slowReadStore{newFakeStore(), make(chan struct{}), make(chan struct{})}
	sent := row(record{Holder: "vm1", Token: 6, Active: true, Target: "b", Earlier: []string{"a"}}, 6)
	finished := row(record{Holder: "vm1", Token: 6, Target: "b"}, 7)
	store.rows["g"], store.version = sent, sent.Version
	s := newSteward("vm3", store.fakeStore, &fakeGroup{})
	s.cfg.Store = store
	done := make(chan error, 1)
	go func() { done <- s.RefreshOrders(context.Background(), "g") }()
	<-store.read
	for _, r := range []coord.Row{sent, finished} {
		if _, err := s.Observe(r); err != nil {
			t.Fatal(err)
		}
	}
	close(store.answer)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if targets, answered := s.OutstandingTargets("g"); len(targets) != 1 || targets[0] != "b" || !answered {
		t.Errorf("outstanding %v, answered %t, want b, answered", targets, answered)
	}
	if at := s.UnfinishedSince("g"); at != 0 {
		t.Errorf("the finished change counts as unfinished, observed %v ago", time.Duration(at))
	}
}
