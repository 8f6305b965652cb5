package entry

import (
	"context"
	"testing"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
)

// Guards against a lost roster: its writer took the last content that it had written for stored.
func TestLostRosterIsWrittenAgain(t *testing.T) {
	store, ctx := &rowStore{rows: map[string]coord.Row{}}, context.Background()
	e := newProcess(store)
	g := e.router.Group("g")
	e.router.Update(serverInfo("s1", "127.0.0.1:1"))
	if err := e.writeRoster(ctx, g); err != nil {
		t.Fatal(err)
	}
	clear(store.rows)
	store.version = coord.NewVersion(2, 1)
	if err := e.readRosters(ctx); err != nil {
		t.Fatal(err)
	}
	if err := e.writeRoster(ctx, g); err != nil || len(store.rows) != 1 {
		t.Errorf("%d rows, %v", len(store.rows), err)
	}
}

// Guards against forgetting VMs whose rows are lost: limits were divided among too few.
func TestMembersThatTheStoreHasLostStayKnown(t *testing.T) {
	e := newProcess(&growingStore{})
	own := coord.Row{Key: "vm1", Value: []byte(`{"address":"127.0.0.1:1","domain":"north"}`)}
	e.resetMembers([]coord.Row{own, {Key: "vm2", Value: []byte(`{"address":"127.0.0.2:1","domain":"south"}`)}})
	if !e.listed.Load() {
		t.Error("this VM is not listed")
	}
	e.resetMembers(nil)
	if len(e.members) != 2 || e.listed.Load() {
		t.Errorf("%d VMs known, this one listed: %t", len(e.members), e.listed.Load())
	}
	e.updateMembers([]coord.Row{own})
	if !e.listed.Load() {
		t.Error("this VM is not listed after its row is back")
	}
}

// Guards against waiting at every start: the rows of VMs tell that the era is settled.
func TestRowsOfVMsTellThatTheEraIsSettled(t *testing.T) {
	e := newProcess(&growingStore{})
	e.platform.Eras = coord.NewEras()
	e.platform.Eras.Observe(2)
	if e.resetMembers([]coord.Row{{Key: "vm2", Value: []byte(`{"address":"127.0.0.2:1","settled_era":1}`)}}); e.platform.Eras.IsSettled(boottime.Now()) {
		t.Error("settled by the row of an earlier era")
	}
	e.updateMembers([]coord.Row{{Key: "vm2", Value: []byte(`{"address":"127.0.0.2:1","settled_era":2}`)}})
	if !e.platform.Eras.IsSettled(boottime.Now()) || e.isSettledEraUnrecorded() {
		t.Error("not settled although a VM says so")
	}
}

// Guards against proving a configuration by a store that holds an older one.
func TestStoreWithAnOlderConfigurationProvesNothing(t *testing.T) {
	e := newProcess(&growingStore{})
	e.view = access.NewView(leadershipProofLifetime)
	e.view.Apply(&access.Config{Version: 5})
	e.storedConfig.Store(3)
	if e.proveConfig(boottime.Now()); e.view.IsFresh() {
		t.Error("an answer about version 3 proves version 5")
	}
	e.storedConfig.Store(5)
	if e.proveConfig(boottime.Now()); !e.view.IsFresh() {
		t.Error("an answer about the version in force proves nothing")
	}
}

// The row of a VM without a valid address was listed: the VM was never heard, and the knowledge of
// all VMs never counted as complete.
func TestRowsOfVMsWithoutAnAddressAreNotUsed(t *testing.T) {
	e := newProcess(&growingStore{})
	for _, value := range []string{`{"address":"127.0.0.2:70000"}`, `{"address":"127.0.0.2:0"}`, `{"address":"vm2:1"}`, `{"domain":"south"}`, `[`, `7`} {
		e.updateMembers([]coord.Row{{Key: "vm2", Value: []byte(value)}})
		if len(e.members) != 0 {
			t.Errorf("%s is listed: %+v", value, e.members)
		}
	}
}

// A row of this VM that another writer overwrote, or deleted, stayed as it was, and new VMs did not
// know this one.
func TestOwnRowIsWrittenAgainIfOverwritten(t *testing.T) {
	e := newProcess(&growingStore{})
	own := coord.Row{Key: "vm1", Value: []byte(`{"address":"127.0.0.1:1","domain":"north"}`)}
	for _, odd := range []coord.Row{{Key: "vm1", Value: []byte(`[`)}, {Key: "vm1", Value: []byte(`{"address":"127.0.0.1:2","domain":"north"}`)}, {Key: "vm1", Deleted: true}} {
		e.updateMembers([]coord.Row{own})
		if !e.listed.Load() {
			t.Fatal("this VM is not listed")
		}
		e.updateMembers([]coord.Row{odd})
		if e.listed.Load() {
			t.Errorf("this VM counts as listed by the row %s, deleted %t", odd.Value, odd.Deleted)
		}
	}
}
