// Package boottime reads the clock that leases and freshness are measured with.
// Unlike the runtime's monotonic clock it goes on while the VM is suspended, and
// unlike the time of day it never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment on the clock, in nanoseconds since the VM started.
type Time int64

// Now returns the present moment.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has the clock; a lease cannot be kept without it.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns the moment d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Since returns the time that has passed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }

// Age returns the time since the moment in milliseconds, rounded up; -1 for 0, which
// stands for never.
func Age(t Time) int64 {
	if t == 0 {
		return -1
	}
	return Since(t).Milliseconds() + 1
}
