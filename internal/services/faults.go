package services

import (
	"context"
	"slices"
	"strings"
	"time"

	"chicoryline/internal/errkind"
)

// objectKey is the key of object writes that Faults.LosePrefix is compared with.
const objectKey = "object/"

// Faults are the faults that a Memory injects. The zero value injects none.
type Faults struct {
	// Down makes every call fail without an effect.
	Down bool
	// Delay is added to each call. A write takes effect after half of it.
	Delay time.Duration
	// LoseAnswers is the number of following table and object writes whose response is
	// lost after they took effect. Registrations do not count.
	LoseAnswers int
	// LosePrefix limits LoseAnswers to keys with this prefix. The key of all objects is
	// "object/".
	LosePrefix string
	// CutVMs and CutDomains name the VMs and failure domains that cannot reach
	// the platform.
	CutVMs     []string
	CutDomains []string
}

// IsPartitioned reports whether the VM cannot reach the platform because of CutVMs or
// CutDomains.
func (f Faults) IsPartitioned(vm VM) bool {
	return vm.ID != "" && slices.Contains(f.CutVMs, vm.ID) ||
		vm.Domain != "" && slices.Contains(f.CutDomains, vm.Domain)
}

func (f Faults) clone() Faults {
	f.CutVMs = slices.Clone(f.CutVMs)
	f.CutDomains = slices.Clone(f.CutDomains)
	return f
}

// Faults returns the faults in force.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults.clone()
}

// ChangeFaults applies change to the faults atomically.
func (m *Memory) ChangeFaults(change func(*Faults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	faults := m.faults.clone()
	change(&faults)
	m.faults = faults.clone()
}

// runRead runs a call that changes no row. Injected faults make it fail with
// PlatformUnavailable.
func runRead[T any](ctx context.Context, m *Memory, caller VM, run func() (T, error)) (T, error) {
	var none T
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return none, errkind.New(errkind.PlatformUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Reads++
	if err := m.injectedError(caller); err != nil {
		return none, err
	}
	return run()
}

// runWrite runs a call that changes a row or an object. Injected faults make it fail with
// PlatformUnavailable before the effect, or with PlatformUnknown after it.
func runWrite[T any](ctx context.Context, m *Memory, caller VM, key string, run func() (T, error)) (T, error) {
	var none T
	delay := m.Faults().Delay
	if err := sleep(ctx, delay/2); err != nil {
		return none, errkind.New(errkind.PlatformUnavailable, "%v", err)
	}
	result, err := applyWrite(m, caller, key, run)
	if waitErr := sleep(ctx, delay-delay/2); waitErr != nil {
		return none, errkind.New(errkind.PlatformUnknown, "%v", waitErr)
	}
	return result, err
}

func applyWrite[T any](m *Memory, caller VM, key string, run func() (T, error)) (T, error) {
	var none T
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Writes++
	if err := m.injectedError(caller); err != nil {
		return none, err
	}
	result, err := run()
	if m.faults.LoseAnswers > 0 && strings.HasPrefix(key, m.faults.LosePrefix) {
		m.faults.LoseAnswers--
		return none, errkind.New(errkind.PlatformUnknown, "answer lost")
	}
	return result, err
}

func (m *Memory) injectedError(caller VM) error {
	if m.faults.Down {
		return errkind.New(errkind.PlatformUnavailable, "down")
	}
	if m.faults.IsPartitioned(caller) {
		return errkind.New(errkind.PlatformUnavailable, "VM %s is cut off", caller.ID)
	}
	return nil
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
