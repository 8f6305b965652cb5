package fairqueue

import (
	"bytes"
	"context"
	"flag"
	"math/rand"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chicoryline/internal/errkind"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var limits = Limits{PerCustomer: 4, Total: 6}

func TestQueueBounds(t *testing.T) {
	cases := []struct {
		name   string
		pushes []string
		want   []bool // accepted
	}{
		{"per customer", []string{"a", "a", "a", "a", "a", "b"}, []bool{true, true, true, true, false, true}},
		{"total", []string{"a", "a", "a", "b", "b", "b", "c"}, []bool{true, true, true, true, true, true, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue(limits)
			var got []bool
			for i, name := range c.pushes {
				err := q.Push(name, 1, time.Millisecond, epoch.Add(time.Second), Ticket(i))
				got = append(got, err == nil)
				if err != nil && !errkind.Is(err, errkind.QueueFull) {
					t.Fatalf("kind %v, want queue_full", errkind.KindOf(err))
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestQueueExpireAndRemove(t *testing.T) {
	q := NewQueue(limits)
	for i, after := range []time.Duration{30, 10, 20, 40} {
		if err := q.Push("a", 1, 0, epoch.Add(after), Ticket(i)); err != nil {
			t.Fatal(err)
		}
	}
	if !q.Remove(3) || q.Remove(3) {
		t.Fatal("Remove must report whether the entry was waiting")
	}
	if diff := cmp.Diff([]Ticket{1, 2}, q.Expire(epoch.Add(20))); diff != "" {
		t.Fatal(diff)
	}
	if ticket, ok := q.Pop(epoch.Add(20)); !ok || ticket != 0 {
		t.Fatalf("Pop: %d %v, want 0", ticket, ok)
	}
	if _, ok := q.Pop(epoch); ok || q.Len() != 0 {
		t.Fatal("queue is not empty")
	}
	if diff := cmp.Diff(map[string]Stats{"a": {Served: 1, Waited: 4, Rejected: 2}}, q.Stats()); diff != "" {
		t.Fatal(diff)
	}
}

// TestQueueShares keeps entries of all customers waiting and checks that the slot times of
// any two customers, divided by their weights, differ by at most a few quanta and
// statements.
func TestQueueShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 6).Draw(t, "weights")
		lengths := rapid.SliceOfN(rapid.IntRange(1, 100), len(weights), len(weights)).Draw(t, "lengths ms")
		random := rand.New(rand.NewSource(int64(rapid.IntRange(0, 1<<30).Draw(t, "seed"))))
		q := NewQueue(Limits{PerCustomer: 1000, Total: 10000})
		names := []string{"a", "b", "c", "d", "e", "f"}[:len(weights)]
		used := make([]time.Duration, len(weights))
		next := Ticket(0)
		push := func(i int) {
			next++
			if err := q.Push(names[i], weights[i], 0, epoch.Add(time.Hour), next*8+Ticket(i)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range weights {
			push(i)
			push(i)
		}
		longest := time.Duration(0)
		for range 2000 {
			ticket, ok := q.Pop(epoch)
			if !ok {
				t.Fatal("waiting entries but nothing popped")
			}
			i := int(ticket % 8)
			cost := max(time.Duration(random.Int63n(int64(lengths[i])))*time.Millisecond, MinCost)
			q.Charge(names[i], cost, 0)
			used[i] += cost
			longest = max(longest, cost)
			push(i)
		}
		for i := range used {
			for j := range used {
				gap := used[i]/time.Duration(weights[i]) - used[j]/time.Duration(weights[j])
				if bound := 3*Quantum + 2*longest; gap > bound {
					t.Fatalf("customer %d is ahead of %d by %v, bound %v", i, j, gap, bound)
				}
			}
		}
	})
}

// TestQueueIsWorkConserving compares the queue with plain lists: Pop must return an
// entry whenever one is waiting, each exactly once and in order within a customer.
func TestQueueIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(limits)
		model := map[string][]Ticket{}
		customerOf := map[Ticket]string{}
		waiting, next := 0, Ticket(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				next++
				if q.Push(name, 1, 0, epoch.Add(time.Hour), next) == nil {
					model[name] = append(model[name], next)
					customerOf[next] = name
					waiting++
				}
			case 2:
				ticket, ok := q.Pop(epoch)
				if ok != (waiting > 0) {
					t.Fatalf("Pop %v with %d waiting", ok, waiting)
				}
				if ok {
					customer := customerOf[ticket]
					if model[customer][0] != ticket {
						t.Fatalf("customer %s: %d is not the oldest", customer, ticket)
					}
					model[customer] = model[customer][1:]
					waiting--
				}
			case 3:
				q.Charge(name, time.Duration(rapid.IntRange(0, 1e9).Draw(t, "ns")), 0)
			}
			if q.Len() != waiting {
				t.Fatalf("Len %d, want %d", q.Len(), waiting)
			}
		}
	})
}

func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(1, limits, time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		soon := func() time.Time { return time.Now().Add(time.Second) }
		release, err := g.Acquire(ctx, "a", 1, soon())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := g.Acquire(ctx, "b", 1, soon()); !errkind.Is(err, errkind.QueueTimeout) {
			t.Fatalf("want queue_timeout, got %v", err)
		}
		results := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := g.Acquire(ctx, "b", 1, soon())
				results <- err
			}()
		}
		synctest.Wait()
		release()
		release()
		if err := <-results; err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := <-results; !errkind.Is(err, errkind.Canceled) {
			t.Fatalf("want canceled, got %v", err)
		}
		if running, waiting := g.Load(); running != 1 || waiting != 0 {
			t.Fatalf("running %d waiting %d, want 1 and 0", running, waiting)
		}
		g.SetSlots(2)
		if _, err := g.Acquire(t.Context(), "c", 1, soon()); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMeasurementTargets(t *testing.T) {
	for _, s := range deployments {
		for _, x := range excesses {
			fairShare, _ := run(s, x, newDiscipline("fair"), rand.New(rand.NewSource(1))).worstOther()
			fifoShare, _ := run(s, x, newDiscipline("fifo"), rand.New(rand.NewSource(1))).worstOther()
			if fairShare < 0.95 {
				t.Errorf("%s, %s: worst other customer gets %.3f of its statements", s.name, x.name, fairShare)
			}
			if x.name != "none" && fifoShare > 0.9 {
				t.Errorf("%s, %s: FIFO must fall below the target, but gives %.3f", s.name, x.name, fifoShare)
			}
		}
	}
	var out bytes.Buffer
	Measure(&out, 1)
	t.Log("\n" + out.String())
}

func BenchmarkQueue(b *testing.B) {
	q := NewQueue(Limits{PerCustomer: 100, Total: 1000})
	for i := range 100 {
		_ = q.Push(customerName(i%8), 1, time.Millisecond, epoch.Add(time.Second), Ticket(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ticket, _ := q.Pop(epoch)
		_ = q.Push("c1", 1, time.Millisecond, epoch.Add(time.Second), ticket)
	}
}
