package voters

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

func vms(ids ...string) []services.VM {
	var list []services.VM
	for _, id := range ids {
		list = append(list, services.VM{ID: id, Address: "addr-" + id})
	}
	return list
}

func TestNext(t *testing.T) {
	cases := []struct {
		name       string
		present    List
		registered []services.VM
		want       []services.VM
		due        bool
	}{
		{"first list", List{}, vms("b", "a"), vms("a", "b"), true},
		{"nothing to do", List{1, vms("a", "b")}, vms("a", "b"), nil, false},
		{"one taken away first", List{1, vms("a", "b", "c")}, vms("a", "d"), vms("a", "c"), true},
		{"one added", List{1, vms("a", "b")}, vms("a", "b", "d", "c"), vms("a", "b", "c"), true},
		{"all replaced", List{1, vms("a", "b")}, vms("x", "y"), vms("x", "y"), true},
		{"nobody registered", List{1, vms("a", "b")}, nil, nil, false},
		{"address used again", List{1, vms("a", "b")}, []services.VM{{ID: "a", Address: "addr-a"}, {ID: "b", Address: "other"}}, vms("a"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, due := Next(c.present, c.registered)
			if due != c.due {
				t.Fatalf("due %t, want %t", due, c.due)
			}
			if due {
				if diff := cmp.Diff(c.want, next.VMs); diff != "" {
					t.Fatal(diff)
				}
			}
		})
	}
}

// TestConsecutiveMajoritiesIntersect checks that majorities of consecutive lists
// always share a VM, unless no VM of the previous list is left.
func TestConsecutiveMajoritiesIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(label string) []services.VM {
			var ids []string
			for i := range 7 {
				if rapid.Bool().Draw(t, fmt.Sprintf("%s-%d", label, i)) {
					ids = append(ids, fmt.Sprintf("vm%d", i))
				}
			}
			return vms(ids...)
		}
		present := List{1, pick("present")}
		next, due := Next(present, pick("registered"))
		if !due || len(present.VMs) == 0 {
			return
		}
		shared := 0
		for _, vm := range next.VMs {
			if present.hasVM(vm.ID) {
				shared++
			}
		}
		if shared == 0 {
			return
		}
		// Two majorities must have more members than there are VMs in both lists.
		union := len(present.VMs) + len(next.VMs) - shared
		if len(present.VMs)/2+1+len(next.VMs)/2+1 <= union {
			t.Fatalf("%v and %v have disjoint majorities", present.VMs, next.VMs)
		}
	})
}

// fakeNetwork passes calls between keepers, except to unreachable addresses.
type fakeNetwork struct {
	keepers     map[string]*Keeper
	unreachable map[string]bool
}

func (l fakeNetwork) Call(_ context.Context, address, _ string, _, reply any) error {
	if l.unreachable[address] {
		return errkind.New(errkind.Unreachable, "%s", address)
	}
	return l.keepers[address].Service().Version("", reply.(*uint64))
}

// TestChangeWaitsForMajority makes a majority unreachable: the list must not change
// until a majority serves under it or has lost its configuration grants.
func TestChangeWaitsForMajority(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	table := services.NewMemory(clock)
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := fakeNetwork{keepers: map[string]*Keeper{}, unreachable: map[string]bool{}}
	registered := vms("a", "b", "c")
	for _, vm := range vms("a", "b", "c", "d") {
		l.keepers[vm.Address] = New(Config{
			VM: vm, Table: table, Caller: l, MinChangeInterval: 4 * time.Second, Now: clock, Log: logrus.NewEntry(log),
			Registered: func(context.Context) ([]services.VM, error) { return registered, nil },
		})
	}
	a, d := l.keepers["addr-a"], l.keepers["addr-d"]
	ctx := context.Background()
	a.Step(ctx)
	if len(a.VMs()) != 0 {
		t.Fatal("the first list was created before the registered VMs were stable")
	}
	now = now.Add(2 * time.Second)
	a.Step(ctx)
	d.Step(ctx)
	if len(a.VMs()) != 3 {
		t.Fatalf("first list %v", a.VMs())
	}
	registered = vms("a", "b", "c", "d")
	l.unreachable["addr-b"], l.unreachable["addr-c"] = true, true
	a.Step(ctx)
	if len(a.VMs()) != 3 {
		t.Fatal("the list changed before MinChangeInterval had passed")
	}
	now = now.Add(5 * time.Second)
	a.Step(ctx)
	if len(a.VMs()) != 3 {
		t.Fatal("the list changed although no majority serves under it")
	}
	l.unreachable["addr-b"] = false
	l.keepers["addr-b"].Step(ctx)
	a.Step(ctx)
	if len(a.VMs()) != 4 {
		t.Fatalf("list %v, want four VMs", a.VMs())
	}
	// Of the four VMs, c is no longer registered and b is unreachable; d still has the
	// previous version.
	registered = vms("a", "b", "d")
	now = now.Add(5 * time.Second)
	l.unreachable["addr-b"] = true
	a.Step(ctx)
	if len(a.VMs()) != 4 {
		t.Fatal("the list changed although only one VM serves under it and one grant has expired")
	}
	d.Step(ctx)
	a.Step(ctx)
	if diff := cmp.Diff(registered, a.VMs()); diff != "" {
		t.Fatal(diff)
	}
}
