package spread

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"chicoryline/internal/fleet"
)

// Every VM that is not a reader has one parent in each tree, and that parent has the VM
// among its children.
func TestRolesAreConsistent(t *testing.T) {
	for _, n := range []int{1, 2, 8, 64, 300} {
		members := makeMembers(n, 3)
		parents := map[string]int{} // "tree parent child" to the number of VMs that have this link
		for _, m := range members {
			role := AssignRole(members, m)
			for tree, children := range role.Children {
				if len(children) > FanOut {
					t.Errorf("%s forwards to %d", m.VM.ID, len(children))
				}
				for _, child := range children {
					parents[fmt.Sprint(tree, m.VM.ID, child.VM.ID)]++
				}
			}
			if !role.IsReader() && len(role.Parents) != len(role.Readers) {
				t.Errorf("%s has %d parents, want %d", m.VM.ID, len(role.Parents), len(role.Readers))
			}
			for tree, parent := range role.Parents {
				parents[fmt.Sprint(tree, parent.VM.ID, m.VM.ID)]++
			}
		}
		for link, said := range parents {
			if said != 2 {
				t.Errorf("n=%d: only one VM has the link %q", n, link)
			}
		}
	}
}

func TestAssignRoleOmitsMembersNotAlive(t *testing.T) {
	members := makeMembers(30, 2)
	for i := range members {
		members[i].State = []fleet.State{fleet.Alive, fleet.Alive, fleet.Suspect, fleet.Leaving, fleet.Dead}[i%5]
	}
	role := AssignRole(members, members[0])
	chosen := append(append([]fleet.Member{}, role.Readers...), role.RemoteReaders...)
	for _, children := range role.Children {
		chosen = append(chosen, children...)
	}
	for _, m := range append(chosen, role.Parents...) {
		if m.State != fleet.Alive {
			t.Errorf("%s is %v", m.VM.ID, m.State)
		}
	}
}

func TestTwoLevelReachesAllUnderFaults(t *testing.T) {
	for _, fault := range []Fault{FaultNone, FaultVMCrash, FaultDomainPartition, FaultPlatformPartition} {
		for _, n := range []int{8, 64, 256} {
			row := measureRun(ProtocolTwoLevel, n, 4, fault, 1)
			if row.Missed > 0 || row.Reach > 3*time.Second || row.ReadsMax > 100 {
				t.Errorf("%+v", row)
			}
			if fault == FaultDomainPartition && (row.CatchUp < 0 || row.CatchUp > 3*time.Second) {
				t.Errorf("catch-up: %+v", row)
			}
		}
	}
}

func TestMeasureIsDeterministic(t *testing.T) {
	for _, w := range []Protocol{ProtocolPoll, ProtocolMesh, ProtocolEARS, ProtocolTwoLevel} {
		first, second := measureRun(w, 64, 4, FaultVMCrash, 7), measureRun(w, 64, 4, FaultVMCrash, 7)
		if diff := cmp.Diff(first, second, cmpopts.IgnoreFields(Row{}, "CPU")); diff != "" {
			t.Errorf("%v: %s", w, diff)
		}
	}
}

// The bytes are determined by the seed, so the bounds hold on every machine.
func TestMembershipStaysWithinBudget(t *testing.T) {
	small, large := measureMembership(64, 1), measureMembership(1500, 1)
	if large.Bytes+large.ListBytes > 4000 || large.Heap > 8e6 {
		t.Errorf("%+v", large)
	}
	if large.Bytes > 1.5*small.Bytes {
		t.Errorf("bytes grow with the fleet: %+v, %+v", small, large)
	}
}

func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		if err := Run(os.Stdout, 1); err != nil {
			b.Fatal(err)
		}
	}
}
