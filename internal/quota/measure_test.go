package quota

import "testing"

// TestMeasurementTargets checks the target values for the smaller customers, for which
// a fraction of a token matters most, and for the customer that exceeds its rate.
func TestMeasurementTargets(t *testing.T) {
	policy := measuredPolicies[0]
	for _, scenario := range []string{"skew", "roaming", "bursts", "vm loss"} {
		offered, wrongful := 0, 0
		for i := excessiveCustomer + 1; i < len(measureRates); i++ {
			r := measureCustomer(deployments[1], scenario, policy, i, 1)
			offered += r.offered
			wrongful += r.wrongful
			if r.over > 0 {
				t.Errorf("%s: customer %d: %d admitted over the rate", scenario, i+1, r.over)
			}
		}
		// The first customer is left out: it sends half of the requests within the rate.
		if float64(wrongful) > 0.002*float64(offered) {
			t.Errorf("%s: %d of %d wrongly rejected", scenario, wrongful, offered)
		}
	}
	r := measureCustomer(deployments[1], "even", policy, excessiveCustomer, 1)
	if r.over > 0 || float64(r.admitted) < 0.95*float64(r.idealAdmitted) {
		t.Errorf("beyond the rate: %d over, %d of %d admitted", r.over, r.admitted, r.idealAdmitted)
	}
}

// TestMeasurementDetectsEqualSplit checks that the measurement detects wrongful
// rejections.
func TestMeasurementDetectsEqualSplit(t *testing.T) {
	for _, p := range measuredPolicies {
		if p.name == "equal" {
			if r := measureCustomer(deployments[1], "skew", p, 2, 1); r.wrongful == 0 {
				t.Fatal("an equal split rejected nothing wrongfully under skewed load")
			}
		}
	}
}
