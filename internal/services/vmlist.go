package services

import (
	"slices"
	"sort"
	"time"
)

// DefaultForgetAfter is the time after its last registration at which a new Memory
// removes a VM from its list.
const DefaultForgetAfter = 10 * time.Second

// SetListLag sets the delay with which new and changed registrations appear in the list,
// and the time after its last registration at which a VM is removed from it.
func (m *Memory) SetListLag(lag, forgetAfter time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms.lag, m.vms.forgetAfter = lag, forgetAfter
}

// vmList holds registrations and shows them with a delay of lag.
type vmList struct {
	lag         time.Duration
	forgetAfter time.Duration
	entries     map[string]*vmEntry
}

// vmEntry holds the registrations of one VM, oldest first.
type vmEntry struct {
	versions       []vmVersion
	lastRegistered time.Time
}

type vmVersion struct {
	vm    VM
	since time.Time
}

func newVMList() vmList {
	return vmList{forgetAfter: DefaultForgetAfter, entries: map[string]*vmEntry{}}
}

func (l *vmList) register(vm VM, now time.Time) {
	e := l.entries[vm.ID]
	if e == nil || now.Sub(e.lastRegistered) > l.forgetAfter {
		e = &vmEntry{}
		l.entries[vm.ID] = e
	}
	e.lastRegistered = now
	if n := len(e.versions); n == 0 || e.versions[n-1].vm != vm {
		e.versions = append(e.versions, vmVersion{vm: vm, since: now})
	}
}

// visible returns the listed VMs, ordered by id, and deletes entries that no later call
// can return.
func (l *vmList) visible(now time.Time) []VM {
	var list []VM
	for id, e := range l.entries {
		if now.Sub(e.lastRegistered) > l.forgetAfter {
			delete(l.entries, id)
			continue
		}
		if vm, ok := e.versionAt(now.Add(-l.lag)); ok {
			list = append(list, vm)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (e *vmEntry) versionAt(when time.Time) (VM, bool) {
	newest := -1
	for i, v := range e.versions {
		if !v.since.After(when) {
			newest = i
		}
	}
	if newest < 0 {
		return VM{}, false
	}
	e.versions = slices.Delete(e.versions, 0, newest)
	return e.versions[0].vm, true
}
