package quota

import "testing"

// TestMeasurementTargets checks the aims of the measurement at the smaller customers,
// where a part of a token weighs most, and at the one beyond its rate.
func TestMeasurementTargets(t *testing.T) {
	leased := measuredPolicies[0]
	for _, scenario := range []string{"skew", "roaming", "bursts", "vm loss"} {
		offered, wrongful := 0, 0
		for i := excessiveCustomer + 1; i < len(measureRates); i++ {
			r := measureCustomer(deployments[1], scenario, leased, i, 1)
			offered += r.offered
			wrongful += r.wrongful
			if r.over > 0 {
				t.Errorf("%s: customer %d: %d admitted over the rate", scenario, i+1, r.over)
			}
		}
		// The first customer, left out, sends half of the requests inside the rate.
		if float64(wrongful) > 0.002*float64(offered) {
			t.Errorf("%s: %d of %d refused wrongly", scenario, wrongful, offered)
		}
	}
	r := measureCustomer(deployments[1], "even", leased, excessiveCustomer, 1)
	if r.over > 0 || float64(r.admitted) < 0.95*float64(r.idealAdmitted) {
		t.Errorf("beyond the rate: %d over, %d of %d admitted", r.over, r.admitted, r.idealAdmitted)
	}
}

// TestMeasurementDetectsEqualSplit proves that the aims can be missed.
func TestMeasurementDetectsEqualSplit(t *testing.T) {
	for _, p := range measuredPolicies {
		if p.name == "equal" {
			if r := measureCustomer(deployments[1], "skew", p, 2, 1); r.wrongful == 0 {
				t.Fatal("an equal split refused nothing under skew")
			}
		}
	}
}
