package services

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/errkind"
)

// TestResolveUnknown checks what the row read back proves about a write whose response
// was lost.
func TestResolveUnknown(t *testing.T) {
	cases := []struct {
		name    string
		later   []string // request ids of later writes by others
		applied bool     // the write with the unknown outcome took effect
		want    Resolution
	}{
		{"took effect", nil, true, Committed},
		{"may be in flight", nil, false, Unresolved},
		{"another writer has taken the version", []string{"x"}, false, NotCommitted},
		{"overwritten", []string{"x"}, true, Unresolved},
		{"two other writers", []string{"x", "y"}, false, Unresolved},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, m := context.Background(), NewMemory(time.Now)
			version := uint64(0)
			write := func(id string) {
				row, err := m.CompareAndSet(ctx, "k", version, nil, id)
				if err != nil {
					t.Fatal(err)
				}
				version = row.Version
			}
			write("base")
			if c.applied {
				write("lost")
			}
			for _, id := range c.later {
				write(id)
			}
			got, _, err := ResolveUnknown(ctx, m, "k", 1, "lost")
			if got != c.want || err != nil {
				t.Errorf("%v, %v, want %v", got, err, c.want)
			}
		})
	}
}

// delayedWriteTable loses the response of the first write and applies that write only
// when deliverWrite is called, after the writer has read the row back.
type delayedWriteTable struct {
	*Memory
	deliverWrite func()
}

func (l *delayedWriteTable) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, id string) (Row, error) {
	if l.deliverWrite != nil {
		return l.Memory.CompareAndSet(ctx, key, version, value, id)
	}
	l.deliverWrite = func() { _, _ = l.Memory.CompareAndSet(ctx, key, version, value, id) }
	return Row{}, errkind.New(errkind.PlatformUnknown, "late")
}

func TestCompareAndSetResolvedWithDelayedWrite(t *testing.T) {
	ctx := context.Background()
	l := &delayedWriteTable{Memory: NewMemory(time.Now)}
	row, err := CompareAndSetResolved(ctx, l, "k", 0, []byte("v"), "r1")
	if err != nil || row.Version != 1 {
		t.Fatalf("%+v, %v", row, err)
	}
	if _, err := l.Memory.CompareAndSet(ctx, "k", 1, []byte("w"), "r2"); err != nil {
		t.Fatal(err)
	}
	l.deliverWrite()
	row, err = l.Get(ctx, "k")
	if err != nil || row.Version != 2 || string(row.Value) != "w" {
		t.Errorf("the delayed write changed the row: %+v, %v", row, err)
	}
}

func TestMemoryFaults(t *testing.T) {
	ctx, m := context.Background(), NewMemory(time.Now)
	a, b := m.ForVM(VM{ID: "1", Domain: "a"}), m.ForVM(VM{ID: "2", Domain: "b"})
	m.ChangeFaults(func(f *Faults) { f.CutDomains = []string{"a"}; f.LoseAnswers = 1 })
	if _, err := a.CompareAndSet(ctx, "k", 0, nil, "r1"); !errkind.Is(err, errkind.PlatformUnavailable) {
		t.Errorf("partitioned VM: %v", err)
	}
	if _, err := b.CompareAndSet(ctx, "k", 0, nil, "r1"); !errkind.Is(err, errkind.PlatformUnknown) {
		t.Errorf("lost response: %v", err)
	}
	if row, err := b.Get(ctx, "k"); err != nil || row.Version != 1 {
		t.Errorf("effect of the lost write: %+v, %v", row, err)
	}
	m.ChangeFaults(func(f *Faults) { f.Down = true })
	if _, err := m.Groups(ctx); !errkind.Is(err, errkind.PlatformUnavailable) {
		t.Errorf("down: %v", err)
	}
}

func TestVMListLagsBothWays(t *testing.T) {
	ctx, now := context.Background(), time.Unix(1000, 0)
	m := NewMemory(func() time.Time { return now })
	m.SetListLag(2*time.Second, 5*time.Second)
	vm := VM{ID: "1", Address: "x"}
	leaving := vm
	leaving.Leaving = true
	steps := []struct {
		after    time.Duration
		register *VM
		want     []VM
	}{
		{0, &vm, nil},
		{time.Second, nil, nil},
		{time.Second, &leaving, []VM{vm}},
		{time.Second, nil, []VM{vm}},
		{time.Second, nil, []VM{leaving}},
		{3 * time.Second, nil, []VM{leaving}},
		{time.Second, &vm, nil},
		{2 * time.Second, nil, []VM{vm}},
	}
	for i, step := range steps {
		now = now.Add(step.after)
		if step.register != nil {
			if err := m.Register(ctx, *step.register); err != nil {
				t.Fatal(err)
			}
		}
		got, err := m.VMs(ctx)
		if diff := cmp.Diff(step.want, got); diff != "" || err != nil {
			t.Errorf("step %d: %s %v", i, diff, err)
		}
	}
}

func TestClientTriesNextAddressOnlyIfUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	c, err := NewClient([]string{"http://" + closed, "http://" + closed}, VM{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSet(context.Background(), "k", 0, nil, "r"); !errkind.Is(err, errkind.PlatformUnavailable) {
		t.Errorf("refused connection: %v", err)
	}
	if _, err := NewClient([]string{"10.0.0.1"}, VM{}); err == nil {
		t.Error("address without scheme was accepted")
	}
}
