package services

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"chicoryline/internal/errkind"
)

// Memory is an in-memory platform with fault injection. Its own methods act for a caller
// without a VM, which is never partitioned; ForVM returns the view of one VM. It is safe
// for concurrent use.
type Memory struct {
	now func() time.Time

	mu      sync.Mutex
	rows    map[string]Row
	deleted map[string]string // key to the request id of its last deletion
	objects map[string][]byte
	groups  []Group
	vms     vmList
	faults  Faults
	counts  Counts
}

// Counts are the calls received since the start, including those that failed because of
// an injected fault.
type Counts struct {
	Reads  uint64
	Writes uint64
}

// NewMemory returns an empty platform whose VM list has no lag and removes a VM
// DefaultForgetAfter after its last registration. The clock is used only for the VM list.
func NewMemory(now func() time.Time) *Memory {
	return &Memory{
		now:     now,
		rows:    map[string]Row{},
		deleted: map[string]string{},
		objects: map[string][]byte{},
		vms:     newVMList(),
	}
}

// ForVM returns the platform as the VM sees it: unreachable if the VM or its failure
// domain is partitioned.
func (m *Memory) ForVM(vm VM) Services { return &vmView{Memory: m, vm: vm} }

// SetGroups replaces the database groups.
func (m *Memory) SetGroups(groups []Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups = cloneGroups(groups)
	sort.Slice(m.groups, func(i, j int) bool { return m.groups[i].Name < m.groups[j].Name })
}

// Counts returns the number of calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// vmView is the platform as one VM sees it.
type vmView struct {
	*Memory
	vm VM
}

func (m *Memory) get(key string) (Row, error) {
	row, ok := m.rows[key]
	if !ok {
		return Row{}, errkind.New(errkind.NotFound, "row %s", key)
	}
	return cloneRow(row), nil
}

func (m *Memory) list(prefix string) ([]Row, error) {
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, cloneRow(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (m *Memory) compareAndSet(key string, version uint64, value []byte, requestID string) (Row, error) {
	row, ok := m.rows[key]
	if ok && requestID != "" && row.RequestID == requestID {
		return cloneRow(row), nil
	}
	if row.Version != version {
		return Row{}, errkind.New(errkind.Conflict, "row %s is at version %d, not %d", key, row.Version, version)
	}
	row = Row{Key: key, Version: version + 1, Value: slices.Clone(value), RequestID: requestID}
	m.rows[key] = row
	return cloneRow(row), nil
}

func (m *Memory) remove(key string, version uint64, requestID string) error {
	row, ok := m.rows[key]
	if !ok {
		if requestID != "" && m.deleted[key] == requestID {
			return nil
		}
		return errkind.New(errkind.NotFound, "row %s", key)
	}
	if row.Version != version {
		return errkind.New(errkind.Conflict, "row %s is at version %d, not %d", key, row.Version, version)
	}
	delete(m.rows, key)
	m.deleted[key] = requestID
	return nil
}

func (m *Memory) putObject(data []byte) (string, error) {
	sum := sha256.Sum256(data)
	name := hex.EncodeToString(sum[:])
	m.objects[name] = slices.Clone(data)
	return name, nil
}

func (m *Memory) object(name string) ([]byte, error) {
	data, ok := m.objects[name]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "object %s", name)
	}
	return slices.Clone(data), nil
}

// Get implements Table.
func (m *Memory) Get(ctx context.Context, key string) (Row, error) {
	return runRead(ctx, m, VM{}, func() (Row, error) { return m.get(key) })
}

// List implements Table.
func (m *Memory) List(ctx context.Context, prefix string) ([]Row, error) {
	return runRead(ctx, m, VM{}, func() ([]Row, error) { return m.list(prefix) })
}

// CompareAndSet implements Table.
func (m *Memory) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, requestID string) (Row, error) {
	return runWrite(ctx, m, VM{}, key, func() (Row, error) { return m.compareAndSet(key, version, value, requestID) })
}

// Delete implements Table. If the row is created again, its version starts at 1.
func (m *Memory) Delete(ctx context.Context, key string, version uint64, requestID string) error {
	return m.deleteAs(ctx, VM{}, key, version, requestID)
}

// PutObject implements Objects.
func (m *Memory) PutObject(ctx context.Context, data []byte) (string, error) {
	return runWrite(ctx, m, VM{}, objectKey, func() (string, error) { return m.putObject(data) })
}

// Object implements Objects.
func (m *Memory) Object(ctx context.Context, name string) ([]byte, error) {
	return runRead(ctx, m, VM{}, func() ([]byte, error) { return m.object(name) })
}

// Groups implements Groups.
func (m *Memory) Groups(ctx context.Context) ([]Group, error) {
	return runRead(ctx, m, VM{}, func() ([]Group, error) { return cloneGroups(m.groups), nil })
}

// VMs implements VMs.
func (m *Memory) VMs(ctx context.Context) ([]VM, error) {
	return runRead(ctx, m, VM{}, func() ([]VM, error) { return m.vms.visible(m.now()), nil })
}

// Register implements VMs.
func (m *Memory) Register(ctx context.Context, vm VM) error {
	return m.registerAs(ctx, VM{}, vm)
}

func (m *Memory) deleteAs(ctx context.Context, caller VM, key string, version uint64, requestID string) error {
	_, err := runWrite(ctx, m, caller, key, func() (struct{}, error) { return struct{}{}, m.remove(key, version, requestID) })
	return err
}

func (m *Memory) registerAs(ctx context.Context, caller, vm VM) error {
	_, err := runRead(ctx, m, caller, func() (struct{}, error) {
		m.vms.register(vm, m.now())
		return struct{}{}, nil
	})
	return err
}

func cloneRow(row Row) Row {
	row.Value = slices.Clone(row.Value)
	return row
}

func cloneGroups(groups []Group) []Group {
	clone := slices.Clone(groups)
	for i := range clone {
		clone[i].Instances = slices.Clone(clone[i].Instances)
	}
	return clone
}
