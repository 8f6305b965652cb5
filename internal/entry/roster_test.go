package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chicoryline/internal/coord"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

// rowStore is an in-memory store.
type rowStore struct {
	mu      sync.Mutex
	rows    map[string]coord.Row
	version coord.Version
}

func (s *rowStore) Rows(context.Context, string) ([]coord.Row, coord.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []coord.Row
	for _, r := range s.rows {
		list = append(list, r)
	}
	return list, s.version, nil
}

func (s *rowStore) Watch(context.Context, string, coord.Version, time.Duration) ([]coord.Row, coord.Version, error) {
	return nil, 0, errkind.New(errkind.PlatformUnavailable, "fake")
}

func (s *rowStore) Apply(_ context.Context, c coord.Change) (coord.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range c.If {
		if s.rows[x.Key].Version != x.Version {
			return 0, errkind.New(errkind.Conflict, "fake")
		}
	}
	s.version++
	for _, r := range c.Put {
		r.Version = s.version
		s.rows[r.Key] = r
	}
	return s.version, nil
}

func serverInfo(id, address string) dispatch.ServerInfo {
	return dispatch.ServerInfo{ID: id, Group: "g", Address: address, Domain: "north", Slots: 1, Started: 1}
}

// All VMs lost power while a server had no entry. Restarted VMs that do not know the server
// replace a primary whose commits it had received.
func TestRestartedVMsKnowServersWithoutAnEntry(t *testing.T) {
	store, ctx := &rowStore{rows: map[string]coord.Row{}}, context.Background()
	before := newProcess(store)
	g := before.router.Group("g")
	for _, id := range []string{"1", "2", "3"} {
		before.router.Update(serverInfo("s"+id, "127.0.0.1:"+id))
	}
	former := dispatch.FormerServer{ServerInfo: serverInfo("s4", "127.0.0.1:4"), Since: 1, Gone: true, Position: position.Position{Term: 2, Offset: 7}}
	g.MergeFormerServer(former)
	if err := before.writeRoster(ctx, g); err != nil {
		t.Fatal(err)
	}

	// Another position of the same servers is not a change.
	g.ObserveAcknowledged(position.Position{Term: 2, Offset: 9})
	if err := before.writeRoster(ctx, g); err != nil || store.version != 1 {
		t.Errorf("an unchanged roster was written again, or failed: version %d, %v", store.version, err)
	}

	after := newProcess(store)
	after.router.Update(serverInfo("s1", "127.0.0.1:1"))
	renewed := serverInfo("s5", "127.0.0.1:3") // at the address of s3
	renewed.Started = 2
	after.router.Update(renewed)
	if err := after.readRosters(ctx); err != nil {
		t.Fatal(err)
	}
	known := map[string]position.Position{}
	for _, f := range after.router.Group("g").FormerServers() {
		known[f.ID] = f.Position
	}
	if diff := cmp.Diff(map[string]position.Position{"s2": {}, "s4": {Term: 2, Offset: 7}}, known); diff != "" {
		t.Error(diff)
	}

	// A VM that has not read the row that another one has written reads it first.
	late := newProcess(store)
	late.router.Update(serverInfo("s1", "127.0.0.1:1"))
	if err := late.writeRoster(ctx, late.router.Group("g")); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("the row of another VM was overwritten: %v", err)
	}
	if n := len(late.router.Group("g").FormerServers()); n != 3 {
		t.Errorf("%d former servers known, want 3", n)
	}
}

// A roster that could not be decoded was never written again, as its version was not known.
func TestUndecodableRosterIsWrittenAgain(t *testing.T) {
	for _, value := range []string{`[`, `{"id":1}`, `[{"id":"odd","address":"127.0.0.1:0"}]`} {
		store := &rowStore{rows: map[string]coord.Row{"g": {Key: "g", Value: []byte(value), Version: 7}}, version: 7}
		e := newProcess(store)
		e.router.Update(serverInfo("a", "127.0.0.1:1"))
		if err := e.readRosters(context.Background()); err != nil {
			t.Fatal(err)
		}
		g := e.router.Group("g")
		if former := g.FormerServers(); len(former) != 0 {
			t.Errorf("%s: former servers %+v", value, former)
		}
		if err := e.writeRoster(context.Background(), g); err != nil || store.version != 8 {
			t.Errorf("%s: not written again: %v", value, err)
		}
	}
}
