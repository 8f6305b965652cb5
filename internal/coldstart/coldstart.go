// Package coldstart decides how many statements one VM may send to a cold backend server, which
// is slow because it has just started or come back.
//
// Load pattern: up to 1,500 VMs see a server appear, or become warm, at the same moment, and each
// takes it for the least loaded one of its group.
//
// The VMs divide a rate among themselves without messages: each derives its part from the list of
// VMs in the store alone. Both sides of a network partition therefore stay within the rate.
package coldstart

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryline/internal/boottime"
)

const (
	// period is the time to which a rate applies.
	period = time.Second
	// rampDoubling is the time in which the rate of a server that has become warm doubles: several
	// times the response time of a statement, so that the load shows before it grows further.
	rampDoubling = 500 * time.Millisecond
	// rampTime is the time after which a server that has become warm has no limit. The rate is
	// then 64 times that of a cold server, which exceeds the capacity of the servers known.
	rampTime = 6 * rampDoubling
)

// Fleet is the list of VMs as one of them knows it. It is immutable.
type Fleet struct {
	vms  []string
	self string
}

// NewFleet returns the list. It returns nil if the list lacks the VM itself, whose part is then
// unknown.
func NewFleet(vms []string, self string) *Fleet {
	if !slices.Contains(vms, self) {
		return nil
	}
	sorted := slices.Sorted(slices.Values(vms))
	return &Fleet{vms: slices.Compact(sorted), self: self}
}

// Equal reports whether both lists hold the same VMs.
func (f *Fleet) Equal(o *Fleet) bool {
	if f == nil || o == nil {
		return f == o
	}
	return f.self == o.self && slices.Equal(f.vms, o.vms)
}

// rank returns the number of VMs that precede this one in the rendezvous-hash order of the server.
func (f *Fleet) rank(server string) int {
	own, rank := xxhash.Sum64String(server+"/"+f.self), 0
	for _, vm := range f.vms {
		if h := xxhash.Sum64String(server + "/" + vm); h > own || h == own && vm < f.self {
			rank++
		}
	}
	return rank
}

// part returns the part of the VM with the rank in a rate, in statements a second. The statements
// that an even division leaves over go to the VMs that come first.
func (f *Fleet) part(rank int, rate float64) int {
	if rate <= 0 {
		return 0
	}
	total, n := max(1, int(min(rate, math.MaxInt32))), len(f.vms)
	part := total / n
	if rank < total%n {
		part++
	}
	return part
}

// RampRate returns the rate of a server that has been warm for the given time, and whether it
// still has a limit. rate is its rate when it was cold.
func RampRate(rate float64, warmFor time.Duration) (float64, bool) {
	if warmFor >= rampTime {
		return 0, false
	}
	return rate * math.Exp2(max(warmFor, 0).Seconds()/rampDoubling.Seconds()), true
}

// Limit counts the statements that this VM has sent to one server. It must not be used
// concurrently.
type Limit struct {
	server string
	// sent holds the times of the statements sent within the last period, oldest first.
	sent []boottime.Time
	// rank belongs to fleet.
	fleet *Fleet
	rank  int
}

// NewLimit returns the limit for the server.
func NewLimit(server string) *Limit { return &Limit{server: server} }

// Wait returns how long no statement may be sent. It returns false if the VM has no part of the
// rate, or does not know the list of VMs.
func (l *Limit) Wait(now boottime.Time, f *Fleet, rate float64) (time.Duration, bool) {
	if f == nil {
		return 0, false
	}
	if f != l.fleet {
		l.fleet, l.rank = f, f.rank(l.server)
	}
	part := f.part(l.rank, rate)
	if part == 0 {
		return 0, false
	}
	l.expire(now)
	if len(l.sent) < part {
		return 0, true
	}
	return max(l.sent[len(l.sent)-part].Add(period).Sub(now), time.Nanosecond), true
}

// Take counts a statement that is about to be sent, if it may be. It has to be called at the
// moment of sending: a statement that was delayed after an earlier check, also by a suspended VM,
// counts when it is sent.
func (l *Limit) Take(now boottime.Time, f *Fleet, rate float64) bool {
	wait, ok := l.Wait(now, f, rate)
	if !ok || wait > 0 {
		return false
	}
	l.Note(now)
	return true
}

// Note counts a statement that is sent whatever the limit.
func (l *Limit) Note(now boottime.Time) {
	l.expire(now)
	if n := len(l.sent); n > 0 {
		now = max(now, l.sent[n-1]) // another caller read the time later and was first
	}
	if len(l.sent) >= maxSent {
		l.sent = l.sent[1:]
	}
	l.sent = append(l.sent, now)
}

// maxSent bounds the memory of a Limit. No VM sends as many statements a second to one server.
const maxSent = 4096

// expire forgets statements that were sent a period ago or earlier.
func (l *Limit) expire(now boottime.Time) {
	n := 0
	for n < len(l.sent) && now.Sub(l.sent[n]) >= period {
		n++
	}
	l.sent = l.sent[n:]
}
