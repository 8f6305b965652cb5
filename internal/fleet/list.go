package fleet

import (
	"context"
	"time"

	"chicoryline/internal/services"
)

// maxRegisterInterval bounds the time between two registrations at the
// platform, which takes a VM without them for gone.
const maxRegisterInterval = 30 * time.Second

// followList registers the VM and reads the platform's list until Close.
func (f *Fleet) followList() {
	var registered time.Time
	for {
		interval := f.config.ListInterval * time.Duration(f.stretch())
		if now := f.config.Now(); now.Sub(registered) >= min(interval, maxRegisterInterval) && f.register() {
			registered = now
		}
		f.readList()
		if !f.pause(interval) {
			return
		}
	}
}

// stretch is the factor by which the fleet's size stretches the interval.
func (f *Fleet) stretch() int { return PlatformStretch(len(f.directory.Alive())) }

func (f *Fleet) readList() {
	ctx, cancel := context.WithTimeout(f.ctx, services.CallTimeout)
	defer cancel()
	vms, err := f.config.Services.VMs(ctx)
	if err != nil {
		f.config.Log.WithError(err).Debug("list of VMs not read")
		return
	}
	f.send(listed{vms})
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

func (f *Fleet) pause(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-f.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
