package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that once failed, with the cause.
var regressions = map[uint64]string{
	3:   "the answer of a transaction's end was taken for that of a read whose answer was lost",
	157: "stand-in: a lag that grew took back what a replica had applied",
	103: "stand-in: the answer to a commit named an older position when the server lost the lead before it was sent",
}

// TestShortSoak runs one fixed seed, and the seeds that once failed, for a short time.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chicoryline")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/chicoryline").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		r, err := soak(options{Program: program, Length: 8 * time.Second, VMs: 3, Callers: 8, Logs: t.TempDir()}, seed)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(r)
		for _, p := range r.problems {
			t.Errorf("seed %d: %s", seed, p)
		}
	}
}
