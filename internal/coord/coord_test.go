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

// fakeStore holds one table in memory; err fails the next calls.
type fakeStore struct {
	mu      sync.Mutex
	rows    []Row // the history, in order
	version uint64
	gone    uint64 // history up to it is lost
	errs    []error
	calls   int
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

func (s *fakeStore) Rows(context.Context, string) ([]Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Row(nil), s.rows...), s.version, s.next()
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		if err := s.next(); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		if after < s.gone {
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

func (s *fakeStore) Apply(context.Context, Change) (uint64, error) { return 0, nil }

// recorder keeps what a follower delivers.
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
		t.Fatal("did not come about")
	}
	wait(func() bool { return r.resets == 1 })
	s.mu.Lock()
	s.version++
	s.rows = append(s.rows, Row{Key: "b", Version: s.version})
	s.gone = s.version
	s.version++
	s.mu.Unlock()
	wait(func() bool { return len(r.keys) == 2 })
	cancel()
	<-done
}

// A proof counts from the sending of the call: the store may have answered from any
// state after that.
func TestProofCountsFromTheSending(t *testing.T) {
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
	if err := f.Check(context.Background()); err == nil {
		t.Error("a table that is not loaded is checked")
	}
	if err := f.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	s.errs = []error{errkind.New(errkind.PlatformUnavailable, "fake")}
	if err := f.Check(context.Background()); !errkind.Is(err, errkind.PlatformUnavailable) {
		t.Errorf("error %v", err)
	}
	if err := f.Check(context.Background()); err != nil {
		t.Error(err)
	}
}
