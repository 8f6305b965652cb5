package main

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"
)

// regressions are seeds of single faults that failed in the past, with the cause.
var regressions = map[uint64]string{
	3:   "the answer to the end of a transaction was taken for that of a read whose answer was lost",
	157: "stand-in: an increased lag rolled back entries that a replica had applied",
	103: "stand-in: the answer to a commit carried an older position if the server lost leadership before it was sent",
}

// seriesRegressions are seeds of series that lost acknowledged commits in the past, with the
// cause.
var seriesRegressions = map[uint64]string{
	704: "the entry of the only replica with the commit expired while it was running; the steward knew only a replica without replication",
	721: "the only replica with the commit restarted without an entry; the steward knew only a replica without replication",
	720: "a promotion was executed late, after servers that were not paused had received more than its target",
}

// replacedRegressions are seeds of series in which replaced primaries served current reads in
// the past, with the cause.
var replacedRegressions = map[uint64]string{
	900: "a VM in the same network partition as the former primary kept reading from it",
	902: "a VM in the same network partition as the former primary kept reading from it",
}

// restoreRegressions are seeds of series with restores of the store that failed in the past, with
// the cause.
var restoreRegressions = map[uint64]string{
	1002: "two VMs gave out the same token, because the row with the last one was lost",
}

// departureRegressions are seeds of departures that left a group without a primary in the past, with
// the cause.
var departureRegressions = map[uint64]string{
	61001: "a promotion ended the pause of a leaving replica, which was not retired again before it ended",
	61004: "the steward waited so long for a primary that did not answer that the store refused the row",
}

const shortLength = 8 * time.Second

// buildProgram builds the program under test and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chicoryline")
	if out, err := exec.Command("go", "build", "-o", path, "../cmd/chicoryline").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// runSeed runs one seed and fails the test for each problem.
func runSeed(t *testing.T, o options, seed uint64) {
	t.Helper()
	o.Length, o.Logs = shortLength, t.TempDir()
	r, err := runSoak(o, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	for _, p := range r.problems {
		t.Errorf("seed %d: %s", seed, p)
	}
}

// TestShortSoak runs one fixed seed and the seeds that failed in the past, for a short time.
func TestShortSoak(t *testing.T) {
	o := options{Program: buildProgram(t), VMs: 3, Callers: 8}
	runSeed(t, o, 1)
	for seed := range regressions {
		runSeed(t, o, seed)
	}
}

func TestSeriesOfFaultsLoseNoAcknowledgedCommit(t *testing.T) {
	runSeries(t, options{Program: buildProgram(t), VMs: 5, Callers: 16, Series: true}, seriesRegressions)
}

func TestReplacedPrimariesServeNoCurrentReads(t *testing.T) {
	runSeries(t, options{Program: buildProgram(t), VMs: 5, Callers: 16, Series: true, Replaced: true}, replacedRegressions)
}

func TestRestoredStoreLosesNoAcknowledgedCommit(t *testing.T) {
	runSeries(t, options{Program: buildProgram(t), VMs: 5, Callers: 16, Series: true, Restores: true}, restoreRegressions)
}

// TestDepartedReplicasKeepNoGroupWithoutAPrimary runs single faults while replicas leave, primaries
// are lost and all processes are killed.
func TestDepartedReplicasKeepNoGroupWithoutAPrimary(t *testing.T) {
	runSeries(t, options{Program: buildProgram(t), VMs: 5, Callers: 8, Depart: true}, departureRegressions)
}

// TestEvacuatedDomainsGetNoStatements runs single faults while domains are evacuated.
func TestEvacuatedDomainsGetNoStatements(t *testing.T) {
	runSeed(t, options{Program: buildProgram(t), VMs: 5, Callers: 8, Evacuate: true}, 1)
}

// TestRepeatedAnswersAreNotMixed runs single faults and series with backend servers that write
// some of their answers twice.
func TestRepeatedAnswersAreNotMixed(t *testing.T) {
	program := buildProgram(t)
	runSeed(t, options{Program: program, VMs: 3, Callers: 8, Repeats: true}, 5)
	runSeed(t, options{Program: program, VMs: 5, Callers: 16, Repeats: true, Series: true}, 6)
}

// TestTextsWithLineFeedsAreNotSplit runs single faults with callers that send any bytes that the
// protocol allows.
func TestTextsWithLineFeedsAreNotSplit(t *testing.T) {
	runSeed(t, options{Program: buildProgram(t), VMs: 3, Callers: 8, OddBytes: true}, 45001)
}

func runSeries(t *testing.T, o options, seeds map[uint64]string) {
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, o, seed)
		})
	}
}
