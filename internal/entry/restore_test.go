package entry

import (
	"testing"

	"chicoryline/internal/coord"
)

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
