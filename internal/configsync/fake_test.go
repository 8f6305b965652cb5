package configsync

import (
	"context"
	"sort"
	"strings"
	"sync"

	"chicoryline/internal/errkind"
	"chicoryline/internal/services"
)

// fakePlatform is an in-memory table and object store with fault injection.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]services.Row
	objects map[string][]byte
	vms     []services.VM
	writes  int
	reads   int

	// down makes every call fail without effect.
	down bool
	// answersToLose is the number of next writes that take effect but whose
	// answers are lost.
	answersToLose int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[string]services.Row{}, objects: map[string][]byte{}}
}

// set runs a change of the fields under the lock.
func (f *fakePlatform) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// countCall counts a call and returns an error if the platform is down.
func (f *fakePlatform) countCall() error {
	f.reads++
	if f.down {
		return errkind.New(errkind.PlatformUnavailable, "down")
	}
	return nil
}

func (f *fakePlatform) Get(_ context.Context, key string) (services.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return services.Row{}, err
	}
	row, ok := f.rows[key]
	if !ok {
		return row, errkind.New(errkind.NotFound, "%s", key)
	}
	return row, nil
}

func (f *fakePlatform) List(_ context.Context, prefix string) ([]services.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return nil, err
	}
	var rows []services.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// answerError returns an error if the answer is to be lost.
func (f *fakePlatform) answerError() error {
	if f.answersToLose > 0 {
		f.answersToLose--
		return errkind.New(errkind.PlatformUnknown, "answer lost")
	}
	return nil
}

func (f *fakePlatform) CompareAndSet(_ context.Context, key string, version uint64, value []byte, requestID string) (services.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return services.Row{}, err
	}
	row := f.rows[key]
	if row.Version != 0 && row.RequestID == requestID {
		return row, nil
	}
	if row.Version != version {
		return services.Row{}, errkind.New(errkind.Conflict, "%s at %d, not %d", key, row.Version, version)
	}
	f.writes++
	row = services.Row{Key: key, Version: version + 1, Value: value, RequestID: requestID}
	f.rows[key] = row
	return row, f.answerError()
}

func (f *fakePlatform) Delete(_ context.Context, key string, version uint64, _ string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return err
	}
	if f.rows[key].Version != version {
		return errkind.New(errkind.Conflict, "%s", key)
	}
	f.writes++
	delete(f.rows, key)
	return f.answerError()
}

func (f *fakePlatform) PutObject(_ context.Context, data []byte) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return "", err
	}
	f.objects[objectName(data)] = data
	return objectName(data), f.answerError()
}

func (f *fakePlatform) Object(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.countCall(); err != nil {
		return nil, err
	}
	data, ok := f.objects[name]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "%s", name)
	}
	return data, nil
}

func (f *fakePlatform) VMs(context.Context) ([]services.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms, f.countCall()
}

func (f *fakePlatform) Groups(context.Context) ([]services.Group, error) { return nil, nil }

func (f *fakePlatform) Register(context.Context, services.VM) error { return nil }
