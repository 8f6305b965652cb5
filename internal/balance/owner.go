package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a VM that may own customers.
type Candidate struct {
	Name string
	// Capacity is its processor time in cores, 0 if it is not known.
	Capacity float64
}

// Owner returns the name of the customer's owner, an empty string without candidates.
//
// Load pattern: the VMs of a cell differ by four to six times in processor time, and an even
// distribution makes the smallest one the owner of as many customers as the largest; one of
// them at five times its usual rate then takes all of its processor time.
//
// Weighted rendezvous hashing gives each candidate customers in proportion to its capacity. All
// VMs with the same list find the same owner, and a candidate that comes, goes or changes only
// gains or loses customers itself. If the capacity of any candidate is not known, all count the
// same: its build does not weight capacities, and with equal ones the owners are those that it
// finds.
func Owner(customer string, candidates []Candidate) string {
	weighted := true
	for _, c := range candidates {
		weighted = weighted && c.Capacity > 0
	}
	var owner string
	lowest := math.Inf(1)
	for _, c := range candidates {
		x := -math.Log(fraction(xxhash.Sum64String(customer + "/" + c.Name)))
		if weighted {
			x /= c.Capacity
		}
		if x < lowest {
			owner, lowest = c.Name, x
		}
	}
	return owner
}
