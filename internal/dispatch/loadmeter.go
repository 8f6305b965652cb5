package dispatch

import (
	"math"
	"time"

	"chicoryline/internal/connset"
)

const (
	// loadSmoothing is the weight of a new measurement in the smoothed load. With a measurement
	// every 200 ms the smoothed load follows a change within 2 s. With more, the connection limits
	// of VMs with few statements change all the time, and connections are closed and opened.
	loadSmoothing = 0.1
	// jumpSmoothing is the weight in the load that shows a jump: above the smoothed load by
	// jumpFactor and jumpMargin statements. Below the margin, chance makes such differences.
	jumpSmoothing = 0.3
	jumpFactor    = 1.3
	jumpMargin    = 0.1
	// measureInterval is the usual time between two measurements, for which the weights hold.
	measureInterval = 200 * time.Millisecond
	// loadMemory is the time in which the smoothed load follows a change. After a gap of that length
	// the VM was frozen: the load before it is out of date, and the statements that were in flight
	// meanwhile do not show what it sends. The load then starts at nothing and follows what
	// comes like a jump.
	loadMemory = 2 * time.Second
)

// loadMeter smooths the number of statements in flight.
//
// Load pattern: callers of a failure domain, or of a customer, become several times as many from
// one second to the next. Their VMs need the connections that others no longer use, and cannot
// have them before the others know of the load.
type loadMeter struct {
	load, recent float64
	// replaceable and recentReplaceable are the parts that replicas may serve. They are smoothed
	// like the whole: otherwise a jump of reads looks like work that only the primary can run.
	replaceable, recentReplaceable float64
	// rising is set from a jump until recent no longer grows.
	rising bool
}

// add records a measurement. One that took longer or shorter than usual counts for more or less.
func (m *loadMeter) add(b connset.Busy) {
	if b.Over >= loadMemory {
		*m = loadMeter{rising: true}
		return
	}
	intervals := b.Over.Seconds() / measureInterval.Seconds()
	smooth := func(value *float64, measured, weight float64) {
		*value += (measured - *value) * (1 - math.Pow(1-weight, intervals))
	}
	smooth(&m.load, b.All, loadSmoothing)
	smooth(&m.recent, b.All, jumpSmoothing)
	smooth(&m.replaceable, b.Replaceable, loadSmoothing)
	smooth(&m.recentReplaceable, b.Replaceable, jumpSmoothing)
	m.rising = m.recent > jumpFactor*m.load+jumpMargin || m.rising && m.recent > m.load
	if m.rising {
		m.load, m.replaceable = m.recent, m.recentReplaceable
	}
}
