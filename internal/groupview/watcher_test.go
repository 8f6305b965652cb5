package groupview

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
	"chicoryline/internal/services"
)

const testCaller = "vm1"

func testGroup() services.Group {
	return services.Group{Name: "g", Instances: []services.Instance{
		{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d2"}, {ID: "c", Domain: "d3"}}}
}

// runWithWatcher runs the test in virtual time with a Watcher of a fake group whose
// primary is a.
func runWithWatcher(t *testing.T, test func(t *testing.T, g *backend.FakeGroup, w *Watcher)) {
	synctest.Test(t, func(t *testing.T) {
		group := testGroup()
		g := backend.NewFakeGroup(group.Instances)
		g.Bootstrap("a")
		g.SetDomain(testCaller, "d1")
		probes, waits := map[string]backend.Control{}, map[string]backend.Control{}
		for _, i := range group.Instances {
			probes[i.ID], waits[i.ID] = g.Control(testCaller, i.ID), g.Control(testCaller, i.ID)
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		w, err := New(Config{Group: group, Controls: probes, WaitControls: waits, Log: logrus.NewEntry(log)})
		if err != nil {
			t.Fatal(err)
		}
		w.Start()
		defer w.Close()
		synctest.Wait()
		test(t, g, w)
	})
}

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func TestPrimaryExpiresWhenPartitioned(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		if id, term, ok := w.View().Primary(); !ok || id != "a" || term != 1 {
			t.Fatalf("primary %s at %d, %v", id, term, ok)
		}
		g.Partition("d1", "d2")
		g.Partition("d1", "d3")
		time.Sleep(2 * DefaultProofLifetime)
		if _, _, ok := w.View().Primary(); ok {
			t.Fatal("a primary that reaches no majority is still confirmed")
		}
		if i, _ := w.View().Instance("b"); i.Reachable {
			t.Fatal("b is still reachable")
		}
		ctx, cancel := contextWithTimeout(time.Second)
		defer cancel()
		if _, err := w.ReadIndex(ctx); !errkind.Is(err, errkind.NoPrimary) {
			t.Fatalf("ReadIndex: %v", err)
		}
	})
}

func TestReadIndexBeginsAfterTheCall(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		g.Partition(testCaller, "c") // a hung instance delays nothing
		g.SetDelay(2 * time.Millisecond)
		called := w.sequence.Load()
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				ctx, cancel := contextWithTimeout(time.Second)
				defer cancel()
				v, err := w.ReadIndex(ctx)
				if err != nil {
					t.Error(err)
					return
				}
				if p, _ := v.Proof(); p.Sequence <= called || p.Primary != "a" {
					t.Errorf("proof %+v is not newer than %d", p, called)
				}
			})
		}
		wait.Wait()
		if sent := w.sequence.Load() - called; sent > 9 { // three per instance

			t.Fatalf("20 reads took %d probes", sent)
		}
	})
}

func TestConfirm(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		g.SetLag("c", 1000)
		var wait sync.WaitGroup
		for i := range 50 {
			p, err := g.Write("a", fmt.Sprint(i))
			if err != nil {
				t.Fatal(err)
			}
			wait.Go(func() {
				ctx, cancel := contextWithTimeout(time.Second)
				defer cancel()
				if err := w.Confirm(ctx, p); err != nil {
					t.Errorf("%s: %v", p, err)
				}
			})
		}
		wait.Wait()

		g.SetLag("b", 1000)
		p, _ := g.Write("a", "late")
		ctx, cancel := contextWithTimeout(time.Second)
		defer cancel()
		if err := w.Confirm(ctx, p); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Fatalf("write held by the primary alone: %v", err)
		}
		time.AfterFunc(time.Second, func() { g.SetLag("b", 0) })
		ctx, cancel = contextWithTimeout(time.Minute)
		defer cancel()
		if err := w.Confirm(ctx, p); err != nil {
			t.Fatalf("after b caught up: %v", err)
		}
	})
}

func TestConfirmFailsOnHigherFence(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		g.SetLag("b", 1000)
		g.SetLag("c", 1000)
		p, _ := g.Write("a", "x")
		time.AfterFunc(time.Second, func() {
			for _, id := range []string{"b", "c"} {
				_, _ = g.Apply(id, backend.FakeCommand{Op: backend.OpFence, Term: 2})
			}
		})
		ctx, cancel := contextWithTimeout(time.Hour)
		defer cancel()
		start := time.Now()
		if err := w.Confirm(ctx, p); !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Fatalf("Confirm: %v", err)
		}
		if waited := time.Since(start); waited > 2*time.Second {
			t.Fatalf("ended after %v, not with the fence", waited)
		}
	})
}

func TestAgeBoundGrowsWhileReplicaLags(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		time.Sleep(time.Second)
		bound := func(id string) time.Duration {
			age, ok := w.View().AgeBound(id, time.Now())
			if !ok {
				t.Fatalf("%s has no bound", id)
			}
			return age
		}
		if got := bound("b"); got > 2*DefaultInterval {
			t.Fatalf("age %v of a replica that follows", got)
		}
		g.SetLag("b", 1000)
		_, _ = g.Write("a", "x")
		time.Sleep(time.Minute)
		if got := bound("b"); got < time.Minute-2*DefaultInterval {
			t.Fatalf("age %v of a replica that does not advance", got)
		}
		g.SetLag("b", 0)
		time.Sleep(time.Second)
		if got := bound("b"); got > 2*DefaultInterval {
			t.Fatalf("age %v after it caught up", got)
		}
	})
}

func TestCloseEndsCalls(t *testing.T) {
	runWithWatcher(t, func(t *testing.T, g *backend.FakeGroup, w *Watcher) {
		g.Partition(testCaller, "b")
		g.Partition(testCaller, "c")
		time.AfterFunc(time.Second, w.Close)
		err := w.Confirm(context.Background(), position.Position{Term: 9, Offset: 1})
		if !errkind.Is(err, errkind.OutcomeUnknown) {
			t.Fatalf("Confirm: %v", err)
		}
	})
}
