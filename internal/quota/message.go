package quota

import "time"

// ShareUnits is the number of units into which a rate or a burst is divided.
const ShareUnits int64 = 1 << 30

// Total is the limit of one resource. A resource has either a rate with a
// burst, or a count.
type Total struct {
	Rate  float64 // units per second
	Burst float64 // units
	Count int     // connections
}

// isCount reports whether the total is a number of connections.
func (t Total) isCount() bool { return t.Count > 0 }

// shareUnits returns the number of units into which the total is divided.
func (t Total) shareUnits() int64 {
	if t.isCount() {
		return int64(t.Count)
	}
	return ShareUnits
}

// Share is a leased part of a total: Rate and Burst are numerators over the denominator
// Of. A count uses Rate for its connections and has no Burst.
type Share struct {
	Rate  int64
	Burst int64
	Of    int64
}

// Renewal is sent by a holder to its home for one resource.
type Renewal struct {
	Resource string
	VM       string
	Start    uint64 // identifies the holder's process
	Seq      uint64
	Epoch    uint64 // highest epoch known to the holder
	Home     uint64 // home process that issued Mark
	Mark     int64  // newest mark received from that home
	Promise  bool   // promise to that home, for one promise lifetime from now
	Held     Share
	Using    int64   // open connections; may temporarily exceed Held
	Returned float64 // tokens returned because the burst share shrank
	Demand   float64 // units per second requested at this VM, or connections wanted
	Want     float64 // tokens missing now
	Leaving  bool
}

// Grant is a home's answer to one Renewal.
type Grant struct {
	Resource string
	Seq      uint64
	Home     uint64 // identifies the home's process
	Epoch    uint64
	Mark     int64 // time since the home's start, in ns, plus 1; echoed in the next Renewal
	Acting   bool  // the home has a majority of promises
	Leaving  bool
	Granted  bool // Share and Tokens are valid
	Share    Share
	Tokens   float64
	Again    bool   // renew again immediately
	Hint     string // VM that the answering VM uses as home
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

// clockRateDivisor bounds the difference between the clock rates of two VMs: at most one
// part in clockRateDivisor.
const clockRateDivisor = 50

// homeLease returns the share lease that the home applies. It is longer than the holder's,
// to allow for the difference between clock rates.
func (t timing) homeLease() time.Duration { return t.lease + t.lease/clockRateDivisor }

// homePromise returns the promise lifetime that the home applies. It is shorter than the
// holder's, to allow for the difference between clock rates.
func (t timing) homePromise() time.Duration { return t.promise - t.promise/clockRateDivisor }
