package coord

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// restorableStore checks the era of versions as a store does that was restored from a backup.
type restorableStore struct {
	*fakeStore
	eras *Eras
	// watches receives the versions of watches that wait, which are not answered.
	watches chan Version
}

func newRestorableStore() *restorableStore {
	s := &restorableStore{fakeStore: &fakeStore{version: NewVersion(1, 9)}, eras: NewEras(), watches: make(chan Version)}
	s.eras.Observe(1)
	s.eras.MarkSettled(1)
	return s
}

// restore begins an era at the given number without any rows.
func (s *restorableStore) restore(era, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = nil, NewVersion(era, number)
}

func (s *restorableStore) Rows(ctx context.Context, table string) ([]Row, Version, error) {
	rows, version, err := s.fakeStore.Rows(ctx, table)
	s.eras.Observe(version.Era())
	return rows, version, err
}

func (s *restorableStore) Watch(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error) {
	if wait > 0 {
		s.watches <- after
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	s.mu.Lock()
	era := s.version.Era()
	s.mu.Unlock()
	s.eras.Observe(era)
	if era != after.Era() {
		return nil, 0, errkind.New(errkind.HistoryGone, "fake")
	}
	return s.fakeStore.Watch(ctx, table, after, wait)
}

// Guards against refusing a restored table for its lower number.
func TestTableOfALaterEraReplacesTheKnownOne(t *testing.T) {
	s, r := newRestorableStore(), &recorder{}
	s.put("lost")
	f := follower(s, r)
	f.Eras = s.eras
	ctx := context.Background()
	if err := f.load(ctx); err != nil {
		t.Fatal(err)
	}
	s.restore(2, 3)
	s.put("kept")
	if err := f.load(ctx); err != nil || f.version != NewVersion(2, 4) {
		t.Errorf("version %s, %v", f.version, err)
	}
	if diff := cmp.Diff([]string{"kept"}, r.keys); diff != "" {
		t.Error(diff)
	}
}

// Guards against counting a refused table as success: it was read again without a pause, and each
// answer was a proof.
func TestOlderTableIsAnErrorAndNoProof(t *testing.T) {
	s, r := &fakeStore{version: 5}, &recorder{}
	f := follower(s, r)
	if err := f.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	proofs := len(r.proofs)
	s.version = 4
	if err := f.load(context.Background()); !errkind.Is(err, errkind.PlatformUnavailable) || len(r.proofs) != proofs {
		t.Errorf("error %v, %d proofs, want none", err, len(r.proofs)-proofs)
	}
}

// Guards against an unanswered watch of the earlier era: changes of the new one were not delivered
// before it ended by itself.
func TestWatchOfAnEarlierEraIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		found func(*restorableStore, *Follower)
	}{
		{"found by the follower", func(_ *restorableStore, f *Follower) { _ = f.CatchUp(context.Background()) }},
		{"found by another call", func(s *restorableStore, _ *Follower) { s.eras.Observe(2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newRestorableStore()
			f := follower(s, &recorder{})
			f.Eras, f.Wait = s.eras, time.Hour
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { f.Run(ctx); close(done) }()
			<-s.watches
			s.restore(2, 3)
			c.found(s, f)
			select {
			case after := <-s.watches:
				if after != NewVersion(2, 3) {
					t.Errorf("watch after %s, want 2.3", after)
				}
			case <-time.After(20 * time.Second):
				t.Error("the watch of the earlier era was not replaced")
			}
			cancel()
			<-done
		})
	}
}

// Guards against an answer from before the restore that arrives after one from after it.
func TestLateAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	s, r := newRestorableStore(), &recorder{}
	f := follower(s, r)
	f.Eras = s.eras
	if err := f.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.restore(2, 3)
	if err := f.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	proved := f.provedAt
	if _, ok := f.update(TableState{Rows: []Row{{Key: "x", Version: NewVersion(1, 50)}}, Version: NewVersion(1, 50), Proved: boottime.Now()}); ok || len(r.keys) > 0 || f.provedAt != proved {
		t.Errorf("accepted %v, rows %v", ok, r.keys)
	}
	if f.reset(TableState{Version: NewVersion(1, 50), Proved: boottime.Now()}) {
		t.Error("the whole table of an earlier era replaced that of a later one")
	}
}

// Guards against dating rows by answers about the backup: a server that had announced its end before
// the restore got work as if it had announced it after it.
func TestUnsettledEraProvesNothing(t *testing.T) {
	s, r := newRestorableStore(), &recorder{}
	f := follower(s, r)
	f.Eras = s.eras
	if err := f.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	proved, proofs := f.provedAt, len(r.proofs)
	s.restore(2, 3)
	if err := f.load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := f.CatchUp(context.Background()); err != nil {
		t.Fatal(err)
	}
	if f.provedAt != proved || len(r.proofs) != proofs {
		t.Errorf("%d proofs while lost rows may not have been written again", len(r.proofs)-proofs)
	}
	s.eras.MarkSettled(2)
	if err := f.CatchUp(context.Background()); err != nil || len(r.proofs) != proofs+1 {
		t.Errorf("%d proofs of a settled era, %v", len(r.proofs)-proofs, err)
	}
}

func TestRowsReadAfterARestoreAreMarked(t *testing.T) {
	s := newRestorableStore()
	f := follower(s, &recorder{})
	var got []Row
	f.Reset = func(rows []Row) { got = rows }
	s.put("a")
	if err := f.load(context.Background()); err != nil || got[0].Restored {
		t.Fatalf("rows %+v, %v", got, err)
	}
	s.restore(2, 3)
	s.put("a")
	if err := f.load(context.Background()); err != nil || !got[0].Restored {
		t.Errorf("rows %+v, %v", got, err)
	}
}

func TestVersionsCompareByEraFirst(t *testing.T) {
	old, restored := NewVersion(1, 900), NewVersion(2, 3)
	if old >= restored || restored.Era() != 2 || restored.Number() != 3 || restored.String() != "2.3" {
		t.Errorf("%s, %s", old, restored)
	}
}

func TestEraSettles(t *testing.T) {
	e := NewEras()
	if e.IsSettled(boottime.Now()) {
		t.Error("settled before the first answer")
	}
	e.Observe(3)
	now := boottime.Now()
	if e.IsSettled(now) || !e.IsSettled(now.Add(rewriteTime)) {
		t.Error("an era settles rewriteTime after it was first observed")
	}
	e.MarkSettled(2) // of another era
	if e.IsSettled(now) {
		t.Error("settled because an earlier era was")
	}
	e.MarkSettled(3)
	e.Observe(2) // a late answer
	if !e.IsSettled(now) || e.Newest() != 3 {
		t.Errorf("era %d", e.Newest())
	}
	var none *Eras
	none.Observe(4)
	if !none.IsSettled(now) || none.Newest() != 0 {
		t.Error("a store without eras is settled")
	}
}
