package quota

import "time"

// ShareUnits is the number of parts of a rate or a burst.
const ShareUnits int64 = 1 << 30

// Total is the limit of one resource. A resource has either a rate with a
// burst, or a count.
type Total struct {
	Rate  float64 // units per second
	Burst float64 // units
	Count int     // connections
}

// isCount reports whether the resource is a number of connections.
func (t Total) isCount() bool { return t.Count > 0 }

// shareUnits is the number of parts that the total is split into.
func (t Total) shareUnits() int64 {
	if t.isCount() {
		return int64(t.Count)
	}
	return ShareUnits
}

// Share is a part of a total: Rate and Burst are out of Of. A count uses Rate
// for its connections and has no Burst.
type Share struct {
	Rate  int64
	Burst int64
	Of    int64
}

// Renewal is what a holder sends to its home for one resource.
type Renewal struct {
	Resource string
	VM       string
	Start    uint64 // names the holder's process
	Seq      uint64
	Epoch    uint64 // highest epoch that the holder knows
	Home     uint64 // home process that issued Mark
	Mark     int64  // newest mark of that home, as it was received
	Promise  bool   // the holder promises for the promise's lifetime from now
	Held     Share
	Using    int64   // connections open, which may be more than Held for a while
	Returned float64 // tokens given back with a smaller burst part
	Demand   float64 // units per second asked for at this VM, or connections wanted
	Want     float64 // tokens missing at this moment
	Leaving  bool
}

// Grant is a home's answer to one Renewal.
type Grant struct {
	Resource string
	Seq      uint64
	Home     uint64 // names the home's process
	Epoch    uint64
	Mark     int64 // home's own time since its start
	Acting   bool
	Leaving  bool
	Granted  bool // Share and Tokens are valid
	Share    Share
	Tokens   float64
	Again    bool   // renew again at once
	Hint     string // VM that the answering VM takes as home
}

// RenewArgs carries the renewals of one holder to one home.
type RenewArgs struct{ Renewals []Renewal }

// RenewReply answers RenewArgs in the same order.
type RenewReply struct{ Grants []Grant }

// timing holds the durations of the protocol.
type timing struct {
	lease    time.Duration // of a share
	interval time.Duration // between renewals
	promise  time.Duration // lifetime of a promise
}

// clockRateDivisor bounds the difference of two VMs' clock rates: one part in driftPart.
const clockRateDivisor = 50

// homeLease is the lease as the home counts it.
func (t timing) homeLease() time.Duration { return t.lease + t.lease/clockRateDivisor }

// homePromise is the promise's lifetime as the home counts it.
func (t timing) homePromise() time.Duration { return t.promise - t.promise/clockRateDivisor }
