package fleet

import (
	"context"
	"time"

	"chicoryline/internal/services"
)

// maxRegisterInterval bounds the time between two registrations at the platform,
// which removes a VM that stops registering.
const maxRegisterInterval = 30 * time.Second

// pollPlatform periodically registers the VM and reads the platform's list, until
// Close.
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

// platformIntervalFactor returns the factor for the interval of platform calls at the
// current fleet size.
func (f *Fleet) platformIntervalFactor() int { return PlatformIntervalFactor(len(f.directory.Alive())) }

func (f *Fleet) readList() {
	ctx, cancel := context.WithTimeout(f.ctx, services.CallTimeout)
	defer cancel()
	vms, err := f.config.Services.VMs(ctx)
	if err != nil {
		f.config.Log.WithError(err).Debug("reading the platform's VM list failed")
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
		f.config.Log.WithError(err).Debug("registering this VM at the platform failed")
		return false
	}
	return true
}

// sleepUnlessClosed returns false if the fleet is closed before the interval has passed.
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
