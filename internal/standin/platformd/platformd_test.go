package platformd

import (
	"context"
	"net/url"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

var self = services.VM{ID: "vm-1", Domain: "a", Address: "127.0.0.1:7000"}

func start(t *testing.T) (*Server, *services.Client) {
	t.Helper()
	s, err := Start("127.0.0.1:0", Options{Groups: []services.Group{{Name: "g", Slots: 5}}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := services.NewClient([]string{s.URL()}, self)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

func wantKind(t *testing.T, err error, kind errkind.Kind) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("error %v, want %v", err, kind)
	}
}

func TestServices(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	want := services.Row{Key: "k&=/", Version: 1, Value: []byte{0, 255}, RequestID: "r1"}
	for range 2 { // the second call is a retry with the same request id
		row, err := c.CompareAndSet(ctx, want.Key, 0, want.Value, "r1")
		if err != nil || !cmp.Equal(row, want) {
			t.Fatalf("%+v, %v", row, err)
		}
	}
	_, err := c.CompareAndSet(ctx, want.Key, 0, nil, "r2")
	wantKind(t, err, errkind.Conflict)
	_, err = c.Get(ctx, "none")
	wantKind(t, err, errkind.NotFound)
	rows, err := c.List(ctx, "k")
	if diff := cmp.Diff([]services.Row{want}, rows); diff != "" || err != nil {
		t.Error(diff, err)
	}
	name, err := c.PutObject(ctx, []byte("data"))
	if err != nil {
		t.Fatal(err)
	}
	data, err := c.Object(ctx, name)
	if string(data) != "data" || err != nil {
		t.Errorf("%q, %v", data, err)
	}
	groups, err := c.Groups(ctx)
	if len(groups) != 1 || groups[0].Slots != 5 || err != nil {
		t.Errorf("%+v, %v", groups, err)
	}
	if err := c.Register(ctx, self); err != nil {
		t.Fatal(err)
	}
	vms, err := c.VMs(ctx)
	if diff := cmp.Diff([]services.VM{self}, vms); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if err := c.Delete(ctx, want.Key, 1, "r3"); err != nil {
		t.Fatal(err)
	}
}

func TestFaultKinds(t *testing.T) {
	cases := []struct {
		name, fault string
		write, read errkind.Kind
		ran         bool
	}{
		{"down", "kind=down", errkind.PlatformUnavailable, errkind.PlatformUnavailable, false},
		{"dropped", "kind=down&mode=drop", errkind.PlatformUnknown, errkind.PlatformUnavailable, false},
		{"partitioned domain", "kind=cut_domain&domain=a", errkind.PlatformUnknown, errkind.PlatformUnavailable, false},
		{"partitioned VM", "kind=cut_vm&vm=vm-1", errkind.PlatformUnknown, errkind.PlatformUnavailable, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, client := start(t)
			form, _ := url.ParseQuery(c.fault)
			if err := s.SetFault(form); err != nil {
				t.Fatal(err)
			}
			_, err := client.CompareAndSet(context.Background(), "k", 0, nil, "r")
			wantKind(t, err, c.write)
			_, err = client.Get(context.Background(), "k")
			wantKind(t, err, c.read)
			_, err = s.Memory().ForVM(services.VM{ID: "vm-2", Domain: "b"}).Get(context.Background(), "k")
			if !errkind.Is(err, errkind.NotFound) && !s.State().Faults.Down {
				t.Errorf("another VM: %v", err)
			}
			if err := s.SetFault(url.Values{"kind": {"clear"}}); err != nil {
				t.Fatal(err)
			}
			_, err = client.Get(context.Background(), "k")
			wantKind(t, err, errkind.NotFound)
		})
	}
}

func TestLostAnswerIsResolved(t *testing.T) {
	s, client := start(t)
	ctx := context.Background()
	form := url.Values{"kind": {"lose_answer"}, "n": {"1"}, "prefix": {"k"}}
	if err := s.SetFault(form); err != nil {
		t.Fatal(err)
	}
	if _, err := client.CompareAndSet(ctx, "other", 0, nil, "r0"); err != nil {
		t.Fatal(err)
	}
	_, err := client.CompareAndSet(ctx, "k", 0, []byte("v"), "r1")
	wantKind(t, err, errkind.PlatformUnknown)
	if err := s.SetFault(form); err != nil {
		t.Fatal(err)
	}
	row, err := services.CompareAndSetResolved(ctx, client, "k", 1, []byte("w"), "r2")
	if err != nil || row.Version != 2 || string(row.Value) != "w" {
		t.Fatalf("%+v, %v", row, err)
	}
}

func TestHangEndsWithTheCaller(t *testing.T) {
	s, client := start(t)
	if err := s.SetFault(url.Values{"kind": {"down"}, "mode": {"hang"}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.CompareAndSet(ctx, "k", 0, nil, "r")
	wantKind(t, err, errkind.PlatformUnknown)
}

// A write whose caller timed out still takes effect.
func TestSlowWriteTakesEffectAfterCallerTimeout(t *testing.T) {
	s, client := start(t)
	if err := s.SetFault(url.Values{"kind": {"slow"}, "ms": {"400"}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.CompareAndSet(ctx, "k", 0, nil, "r")
	wantKind(t, err, errkind.PlatformUnknown)
	if err := s.SetFault(url.Values{"kind": {"clear"}}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, err = client.Get(context.Background(), "k"); err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the write never took effect: %v", err)
		}
	}
}

func TestSetFaultRejectsInvalidForms(t *testing.T) {
	s, _ := start(t)
	for _, query := range []string{"", "kind=x", "kind=slow", "kind=lag&ms=-1", "kind=lose_answer", "kind=cut_vm", "kind=cut_vm&vm=x&mode=y", "kind=down&mode=x"} {
		form, _ := url.ParseQuery(query)
		if s.SetFault(form) == nil {
			t.Errorf("fault %q was accepted", query)
		}
	}
}
