package services

import "context"

// Get implements Table.
func (v *vmView) Get(ctx context.Context, key string) (Row, error) {
	return runRead(ctx, v.Memory, v.vm, func() (Row, error) { return v.get(key) })
}

// List implements Table.
func (v *vmView) List(ctx context.Context, prefix string) ([]Row, error) {
	return runRead(ctx, v.Memory, v.vm, func() ([]Row, error) { return v.list(prefix) })
}

// CompareAndSet implements Table.
func (v *vmView) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, requestID string) (Row, error) {
	return runWrite(ctx, v.Memory, v.vm, key, func() (Row, error) { return v.compareAndSet(key, version, value, requestID) })
}

// Delete implements Table.
func (v *vmView) Delete(ctx context.Context, key string, version uint64, requestID string) error {
	return v.deleteAs(ctx, v.vm, key, version, requestID)
}

// PutObject implements Objects.
func (v *vmView) PutObject(ctx context.Context, data []byte) (string, error) {
	return runWrite(ctx, v.Memory, v.vm, objectKey, func() (string, error) { return v.putObject(data) })
}

// Object implements Objects.
func (v *vmView) Object(ctx context.Context, name string) ([]byte, error) {
	return runRead(ctx, v.Memory, v.vm, func() ([]byte, error) { return v.object(name) })
}

// Groups implements Groups.
func (v *vmView) Groups(ctx context.Context) ([]Group, error) {
	return runRead(ctx, v.Memory, v.vm, func() ([]Group, error) { return cloneGroups(v.groups), nil })
}

// VMs implements VMs.
func (v *vmView) VMs(ctx context.Context) ([]VM, error) {
	return runRead(ctx, v.Memory, v.vm, func() ([]VM, error) { return v.vms.visible(v.now()), nil })
}

// Register implements VMs.
func (v *vmView) Register(ctx context.Context, vm VM) error {
	return v.registerAs(ctx, v.vm, vm)
}
