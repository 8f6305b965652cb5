package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds of single faults that once failed, with the cause.
var regressions = map[uint64]string{
	3:   "the answer of a transaction's end was taken for that of a read whose answer was lost",
	157: "stand-in: a lag that grew took back what a replica had applied",
	103: "stand-in: the answer to a commit named an older position when the server lost the lead before it was sent",
}

// seriesRegressions are seeds of series that once failed, with the cause.
var seriesRegressions = map[uint64]string{
	500: "a server that had come back without its entry received commits alone; a deaf replica was promoted",
}

const shortLength = 8 * time.Second

// runSeeds runs seeds with the present program and reports each broken promise.
func runSeeds(t *testing.T, o options, seeds ...uint64) {
	t.Helper()
	o.Program = filepath.Join(t.TempDir(), "chicoryline")
	if out, err := exec.Command("go", "build", "-o", o.Program, "../cmd/chicoryline").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	o.Length, o.Logs = shortLength, t.TempDir()
	for _, seed := range seeds {
		r, err := soak(o, seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		for _, p := range r.problems {
			t.Errorf("seed %d: %s", seed, p)
		}
	}
}

// TestShortSoak runs one fixed seed, and the seeds that once failed, for a short time.
func TestShortSoak(t *testing.T) {
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	runSeeds(t, options{VMs: 3, Callers: 8}, seeds...)
}

func TestSeriesOfFaultsLoseNoAcknowledgedCommit(t *testing.T) {
	var seeds []uint64
	for seed := range seriesRegressions {
		seeds = append(seeds, seed)
	}
	runSeeds(t, options{VMs: 5, Callers: 16, Series: true}, seeds...)
}
