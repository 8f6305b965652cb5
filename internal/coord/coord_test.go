package coord

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/boottime"
	"chicoryline/internal/errkind"
)

// fakeStore holds one table in memory. errs fails the next calls.
type fakeStore struct {
	mu          sync.Mutex
	rows        []Row // the history, in order
	version     Version
	compactedTo Version // Watch fails for versions before this one
	errs        []error
	calls       int
}

func (s *fakeStore) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, Row{Key: key, Version: s.version})
}

func (s *fakeStore) next() error {
	s.calls++
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

func (s *fakeStore) Rows(context.Context, string) ([]Row, Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Row(nil), s.rows...), s.version, s.next()
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after Version, wait time.Duration) ([]Row, Version, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		if err := s.next(); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		if after < s.compactedTo {
			s.mu.Unlock()
			return nil, 0, errkind.New(errkind.HistoryGone, "fake")
		}
		var changed []Row
		for _, r := range s.rows {
			if r.Version > after {
				changed = append(changed, r)
			}
		}
		version := s.version
		s.mu.Unlock()
		if len(changed) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return changed, version, ctx.Err()
		}
	}
}

func (s *fakeStore) Apply(context.Context, Change) (Version, error) { return 0, nil }

// recorder records what a follower delivers.
type recorder struct {
	mu     sync.Mutex
	keys   []string
	resets int
	proofs []boottime.Time
}

func follower(s Store, r *recorder) *Follower {
	log := logrus.New()
	log.SetOutput(io.Discard)
	take := func(rows []Row) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, row := range rows {
			r.keys = append(r.keys, row.Key)
		}
	}
	return &Follower{
		Store: s, Table: "t", Wait: 5 * time.Millisecond, Timeout: time.Second, Log: logrus.NewEntry(log),
		Reset: func(rows []Row) {
			r.mu.Lock()
			r.resets++
			r.keys = nil
			r.mu.Unlock()
			take(rows)
		},
		Update: take,
		Proof: func(at boottime.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.proofs = append(r.proofs, at)
		},
	}
}

func TestFollowerDeliversEachChangeOnceInOrder(t *testing.T) {
	s, r := &fakeStore{}, &recorder{}
	s.put("a")
	f := follower(s, r)
	for _, key := range []string{"", "b", "c", ""} {
		if key != "" {
			s.put(key)
		}
		if err := f.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, r.keys); diff != "" {
		t.Error(diff)
	}
}

func TestFollowerReadsTheTableAgainAfterAGap(t *testing.T) {
	s, r := &fakeStore{}, &recorder{}
	s.put("a")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f := follower(s, r)
	go func() { f.Run(ctx); close(done) }()
	wait := func(ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			r.mu.Lock()
			good := ok()
			r.mu.Unlock()
			if good {
				return
			}
		}
		t.Fatal("timed out")
	}
	wait(func() bool { return r.resets == 1 })
	s.mu.Lock()
	s.version++
	s.rows = append(s.rows, Row{Key: "b", Version: s.version})
	s.compactedTo = s.version
	s.version++
	s.mu.Unlock()
	wait(func() bool { return len(r.keys) == 2 })
	cancel()
	<-done
}

// A proof is dated by the time when the call was sent: the store may have answered with its
// state at any time after that.
func TestProofIsDatedWhenTheCallIsSent(t *testing.T) {
	s, r := &fakeStore{}, &recorder{}
	f := follower(s, r)
	ctx, cancel := context.WithCancel(context.Background())
	before := boottime.Now()
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	for {
		r.mu.Lock()
		n := len(r.proofs)
		r.mu.Unlock()
		if n >= 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	after := boottime.Now()
	for i, p := range r.proofs {
		if p < before || p > after {
			t.Errorf("proof %d lies outside the run", i)
		}
		if i > 1 && p.Sub(r.proofs[i-1]) < f.Wait {
			t.Errorf("proof %d is %v after the one before, less than one watch", i, p.Sub(r.proofs[i-1]))
		}
	}
}

func TestFailedCallsProveNothing(t *testing.T) {
	s, r := &fakeStore{}, &recorder{}
	f := follower(s, r)
	if err := f.CatchUp(context.Background()); err == nil {
		t.Error("no error for a table that is not loaded")
	}
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.errs = []error{errkind.New(errkind.PlatformUnavailable, "fake")}
	if err := f.CatchUp(context.Background()); !errkind.Is(err, errkind.PlatformUnavailable) {
		t.Errorf("error %v", err)
	}
	if err := f.CatchUp(context.Background()); err != nil {
		t.Error(err)
	}
}

// unansweredWatchStore never answers watches that wait. Calls that do not wait are answered.
type unansweredWatchStore struct {
	*fakeStore
	watches chan Version
}

func (s *unansweredWatchStore) Watch(ctx context.Context, table string, after Version, wait time.Duration) ([]Row, Version, error) {
	if wait == 0 {
		return s.fakeStore.Watch(ctx, table, after, wait)
	}
	select {
	case s.watches <- after:
	case <-ctx.Done():
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A watch sent while the store was down was never answered. For 30 s a VM sent statements to
// a server that had left (releases-under-cuts, kremstal-ballon, seed 90: DRAIN).
func TestUnansweredWatchIsReplaced(t *testing.T) {
	s, r := &unansweredWatchStore{fakeStore: &fakeStore{}, watches: make(chan Version)}, &recorder{}
	s.put("a")
	f := follower(s, r)
	f.Wait, f.MaxProofAge = time.Hour, time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	if after := <-s.watches; after != 1 {
		t.Errorf("watch after %d, want 1", after)
	}
	s.put("b")
	select {
	case after := <-s.watches: // the unanswered watch is replaced
		if after != 2 {
			t.Errorf("watch after %d, want 2", after)
		}
	case <-time.After(20 * time.Second):
		t.Error("the change was not observed")
	}
	cancel()
	<-done
	if diff := cmp.Diff([]string{"a", "b"}, r.keys); diff != "" {
		t.Error(diff)
	}
}

// A delayed answer that arrives after a newer one must not restore old rows.
func TestDelayedAnswerDoesNotRestoreOldRows(t *testing.T) {
	s, r := &fakeStore{}, &recorder{}
	f := follower(s, r)
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	late := TableState{Rows: []Row{{Key: "x", Version: 1}}, Version: 1}
	f.update(TableState{Rows: []Row{{Key: "x", Version: 2}}, Version: 2})
	f.update(late)
	if diff := cmp.Diff([]string{"x"}, r.keys); diff != "" || f.version != 2 {
		t.Errorf("version %d, %s", f.version, diff)
	}
}

// A changed row is dated by the last time up to which the follower had all changes, however
// late it receives the row.
func TestRowsAreDatedByThePrecedingProof(t *testing.T) {
	s := &fakeStore{}
	s.put("a")
	f := follower(s, &recorder{})
	var got []Row
	f.Reset = func(rows []Row) { got = rows }
	f.Update = func(rows []Row) { got = rows }
	ctx := context.Background()
	if err := f.load(ctx); err != nil || got[0].After != 0 {
		t.Fatalf("row of the first answer is dated %v, %v", got[0].After, err)
	}
	before := boottime.Now()
	if err := f.CatchUp(ctx); err != nil {
		t.Fatal(err)
	}
	proved := boottime.Now()
	s.errs = []error{errkind.New(errkind.PlatformUnavailable, "fake")}
	if err := f.CatchUp(ctx); err == nil {
		t.Fatal("no error")
	}
	s.put("b")
	if err := f.CatchUp(ctx); err != nil || got[0].After < before || got[0].After > proved {
		t.Errorf("row is dated %v, want between %v and %v; %v", got[0].After, before, proved, err)
	}
	date := f.provedAt
	s.put("c")
	if err := f.load(ctx); err != nil || got[1].After != 0 || got[2].After != date {
		t.Errorf("dates %v and %v, want 0 for the known row and %v for the new one; %v", got[1].After, got[2].After, date, err)
	}
}
