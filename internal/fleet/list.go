package fleet

import (
	"context"
	"time"

	"chicoryline/internal/services"
)

// maxRegisterInterval bounds the time between two registrations at the
// platform, which takes a VM without them for gone.
const maxRegisterInterval = 30 * time.Second

// pollPlatform registers the VM and reads the platform's list until Close.
func (f *Fleet) pollPlatform() {
	var registered time.Time
	for {
		interval := f.config.ListInterval * time.Duration(f.platformIntervalFactor())
		if now := f.config.Now(); now.Sub(registered) >= min(interval, maxRegisterInterval) && f.register() {
			registered = now
		}
		f.readList()
		if !f.sleepUnlessClosed(interval) {
			return
		}
	}
}

// platformIntervalFactor is the factor by which the fleet's size stretches the interval.
func (f *Fleet) platformIntervalFactor() int { return PlatformIntervalFactor(len(f.directory.Alive())) }

func (f *Fleet) readList() {
	ctx, cancel := context.WithTimeout(f.ctx, services.CallTimeout)
	defer cancel()
	vms, err := f.config.Services.VMs(ctx)
	if err != nil {
		f.config.Log.WithError(err).Debug("list of VMs not read")
		return
	}
	f.sendToActor(vmListRead{vms})
}

func (f *Fleet) register() bool {
	ctx, cancel := context.WithTimeout(f.ctx, services.CallTimeout)
	defer cancel()
	vm := f.config.Self
	vm.Leaving = f.leaving.Load()
	if err := f.config.Services.Register(ctx, vm); err != nil {
		f.config.Log.WithError(err).Debug("VM not registered")
		return false
	}
	return true
}

func (f *Fleet) sleepUnlessClosed(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-f.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
