package main

import (
	"math/rand/v2"
	"time"
)

const (
	// evacuateTime is the bound of an evacuation in the settings, the platform's default. It
	// exceeds the lease of the configuration, so that it holds for VMs that lose the store, too.
	evacuateTime = 5 * time.Second
	// maxEvacuationRest bounds how long after the bound an evacuation is withdrawn.
	maxEvacuationRest = 4 * time.Second
	// evacuationStream selects the random numbers of evacuations.
	evacuationStream = 2
)

// evacuations evacuates failure domains until the end, one after the other; every third is withdrawn
// after a second. The stand-in servers record statements after the bound as violations. It draws
// from a source of its own, so that the other faults of a seed stay the same.
func (r *run) evacuations(end time.Time) {
	source := rand.New(rand.NewPCG(r.seed, evacuationStream))
	domains := r.world.Options.Domains
	for n := 0; time.Now().Before(end); n++ {
		domain := domains[source.IntN(len(domains))]
		duration := evacuateTime + time.Duration(source.Int64N(int64(maxEvacuationRest)))
		if n%3 == 2 {
			duration = time.Second
		}
		r.recordEvent("evacuate %s for %v", domain, duration)
		r.world.Evacuate(domain)
		time.Sleep(duration)
		r.recordEvent("withdraw the evacuation of %s, confirmed %t", domain, r.world.IsEvacuationConfirmed(domain))
		r.world.WithdrawEvacuation(domain)
		time.Sleep(time.Second)
	}
}
