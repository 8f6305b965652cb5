// Package boottime reads the clock used to measure leases and freshness. Unlike the runtime's
// monotonic clock it keeps running while the VM is suspended, and unlike the time of day it
// never jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock, in nanoseconds since the VM was booted.
type Time int64

// Now returns the current time.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock, and leases depend on it.
		panic("CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Add returns the time t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Since returns the time elapsed since t.
func Since(t Time) time.Duration { return Now().Sub(t) }

// AgeMillis returns the time elapsed since t in milliseconds, rounded up. It returns -1 if t is
// 0, which stands for never.
func AgeMillis(t Time) int64 {
	if t == 0 {
		return -1
	}
	return Since(t).Milliseconds() + 1
}
