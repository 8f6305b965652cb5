// Package voters maintains the list of VMs whose majority elects the homes of shares, see
// package quota. The list is one row of the platform's table. It is changed by
// compare-and-set and by one VM at a time, so that every VM observes the same sequence of
// lists and the majorities of any two consecutive lists intersect.
//
// A change is made only if a majority of the current list already serves under it, and
// only after every promise and share granted under the previous list has expired. A VM
// whose configuration grant has expired serves nothing and counts as serving under any
// list.
package voters

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"chicoryline/internal/services"
)

// List is one version of the list.
type List struct {
	// Version counts the changes, starting at 1; 0 means that there is no list yet.
	Version uint64
	// VMs is sorted by id.
	VMs []services.VM
}

func (l List) hasVM(id string) bool {
	return slices.ContainsFunc(l.VMs, func(vm services.VM) bool { return vm.ID == id })
}

func (l List) encode() ([]byte, error) {
	data, err := json.Marshal(l)
	return data, errors.Trace(err)
}

func decode(data []byte) (List, error) {
	var l List
	return l, errors.Annotate(json.Unmarshal(data, &l), "list of voters")
}

// Next returns the next list for the registered holders of configuration grants, or false
// if no change is needed. It removes one VM or adds one. If no VM of the current list is
// registered any more, the whole list is replaced.
func Next(current List, registered []services.VM) (List, bool) {
	next := List{Version: current.Version + 1}
	remaining := slices.DeleteFunc(slices.Clone(current.VMs), func(vm services.VM) bool {
		return !contains(registered, vm)
	})
	added := slices.DeleteFunc(sorted(registered), func(vm services.VM) bool { return contains(current.VMs, vm) })
	switch {
	case len(registered) == 0:
		return current, false
	case len(remaining) == 0:
		next.VMs = sorted(registered)
	case len(remaining) < len(current.VMs):
		next.VMs = withoutFirstMissing(current.VMs, registered)
	case len(added) > 0:
		next.VMs = sorted(append(slices.Clone(current.VMs), added[0]))
	default:
		return current, false
	}
	return next, true
}

func withoutFirstMissing(list, registered []services.VM) []services.VM {
	i := slices.IndexFunc(list, func(vm services.VM) bool { return !contains(registered, vm) })
	return slices.Delete(slices.Clone(list), i, i+1)
}

// contains compares the address too: a replaced VM may have the same id, but it has a
// different address.
func contains(list []services.VM, vm services.VM) bool {
	return slices.ContainsFunc(list, func(other services.VM) bool {
		return other.ID == vm.ID && other.Address == vm.Address
	})
}

func sorted(list []services.VM) []services.VM {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b services.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// isServedByMajority reports whether a majority of the list serves under its version. served
// has the versions of the VMs that answered; registered lists the VMs whose configuration
// grant has not expired.
func isServedByMajority(l List, served map[string]uint64, registered []services.VM) bool {
	count := 0
	for _, vm := range l.VMs {
		if served[vm.ID] >= l.Version || !contains(registered, vm) {
			count++
		}
	}
	return 2*count > len(l.VMs)
}
