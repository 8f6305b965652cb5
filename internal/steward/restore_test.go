package steward

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
	"chicoryline/internal/errkind"
)

// restoreTo sets the store back to the given row of the group, in the given era.
func (s *fakeStore) restoreTo(era uint64, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = coord.NewVersion(era, 1)
	s.rows = map[string]coord.Row{}
	if value != "" {
		s.rows["g"] = coord.Row{Table: Table, Key: "g", Value: []byte(value), Version: s.version}
	}
}

// Guards against giving out a token twice: the row with the last one is gone.
func TestTokensOfALaterEraAreHigher(t *testing.T) {
	store := newFakeStore()
	highest := uint64(0)
	for era := range uint64(3) {
		store.restoreTo(era, "")
		s := newSteward("vm1", store, &fakeGroup{})
		l, err := s.acquireLease(context.Background(), "g")
		if err != nil || l.record.Token <= highest {
			t.Fatalf("era %d: token %d after %d, %v", era, l.record.Token, highest, err)
		}
		if err := s.writeNextToken(context.Background(), l, "b"); err != nil {
			t.Fatal(err)
		}
		highest = l.record.Token
	}
}

// Guards against forgetting orders that may still be executed, and replicas that may be paused,
// with the row that told of them.
func TestLostRecordOfAnUnfinishedChangeCounts(t *testing.T) {
	for name, restored := range map[string]string{"no row": "", "an older row": `{"holder":"","token":4}`, "the same token": `{"holder":"vm2","token":6,"active":true}`} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			s := newSteward("vm1", store, &fakeGroup{})
			value := []byte(`{"holder":"vm1","token":6,"active":true,"target":"b"}`)
			if _, err := s.Observe(coord.Row{Key: "g", Value: value, Version: coord.NewVersion(1, 9)}); err != nil {
				t.Fatal(err)
			}
			store.restoreTo(2, restored)
			for _, r := range store.rows {
				if c, err := s.Observe(r); err != nil || !c.InProgress || c.Primary != "b" {
					t.Errorf("change %+v, %v", c, err)
				}
			}
			if s.UnfinishedSince("g") == 0 {
				t.Error("the change counts as finished")
			}
			l, err := s.acquireLease(context.Background(), "g")
			if err != nil || !l.unfinished {
				t.Fatalf("lease %+v, %v", l, err)
			}
			if diff := cmp.Diff([]string{"b"}, l.pendingTargets); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against two stewards at once: a lease of the era before may be held for as long as its
// holder needs to notice that it is lost.
func TestNoLeaseIsTakenInAnEraThatHasJustBegun(t *testing.T) {
	store := newFakeStore()
	store.restoreTo(2, "")
	s := newSteward("vm1", store, &fakeGroup{})
	s.cfg.Eras = coord.NewEras()
	s.cfg.Eras.Observe(2)
	if _, err := s.acquireLease(context.Background(), "g"); !errkind.Is(err, errkind.Conflict) || len(store.rows) != 0 {
		t.Errorf("error %v, rows %v", err, store.rows)
	}
	if !s.cfg.Eras.IsOlderThan(leaseDuration, boottime.Now().Add(leaseDuration)) {
		t.Error("no lease can be taken after leaseDuration")
	}
	s.cfg.Eras.MarkSettled(2)
	if _, err := s.acquireLease(context.Background(), "g"); err != nil {
		t.Error(err)
	}
}

// restoringStore begins era 2 with its present rows right after a write, whose answer is lost.
type restoringStore struct{ *fakeStore }

func (s restoringStore) Apply(ctx context.Context, c coord.Change) (coord.Version, error) {
	if _, err := s.fakeStore.Apply(ctx, c); err != nil {
		return 0, err
	}
	s.restoreTo(2, string(c.Put[0].Value))
	return 0, errkind.New(errkind.PlatformUnknown, "fake")
}

// Guards against going on with a lease of the era before, whose row another VM may have taken.
func TestLeaseIsLostWhenTheStoreIsRestored(t *testing.T) {
	store := newFakeStore()
	store.restoreTo(1, "")
	s := newSteward("vm1", store, &fakeGroup{})
	l, err := s.acquireLease(context.Background(), "g")
	if err != nil {
		t.Fatal(err)
	}
	s.cfg.Store = restoringStore{store}
	if err := s.writeNextToken(context.Background(), l, "b"); err == nil {
		t.Error("a row found in a later era confirms a write of the earlier one")
	}
	s.cfg.Store = store
	if err := s.writeNextToken(context.Background(), l, "b"); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("error %v, want conflict", err)
	}
}
