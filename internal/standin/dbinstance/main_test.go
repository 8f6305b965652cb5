package dbinstance

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// rapidDefaults are the default flags of the property tests; flags on the command line
// override them.
var rapidDefaults = map[string]string{
	"rapid.seed":   "20240817",
	"rapid.checks": "200",
}

func TestMain(m *testing.M) {
	for name, value := range rapidDefaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
