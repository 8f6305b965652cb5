package platform_test

import (
	"encoding/json"
	"testing"
	"time"

	"chicoryline/internal/standin/linegroup"
)

// drainTime is how long a server goes on after it has announced its end: drain_ms of the settings.
const drainTime = 7 * time.Second

// depart lets a server announce its end and end as planned, together with its entry.
func (f *fleet) depart(s *linegroup.Server) {
	f.t.Helper()
	s.StartDraining()
	f.PublishEntry(s)
	time.Sleep(drainTime)
	s.Crash()
	f.PublishEntry(s)
}

// restartAllVMs stops the proxies of all VMs and starts them again. They remember nothing.
func (f *fleet) restartAllVMs() {
	f.t.Helper()
	for vm := range f.stop {
		f.stop[vm]()
	}
	for vm := range f.stop {
		<-f.done[vm]
	}
	for vm := range f.stop {
		f.startVM(vm)
	}
}

// A replica left as planned, the primary was lost a moment later, and all VMs restarted: no steward
// ever found a target, as nobody knew what the replica had held (review/8).
func TestPrimaryIsReplacedAfterADepartureAndARestartOfAllVMs(t *testing.T) {
	f := start(t)
	primary, leaving := f.primary(), f.Groups[0].Servers()[2]
	f.addServer(true)
	f.awaitWrite(0)
	f.depart(leaving)
	f.awaitWrite(0)
	primary.Crash()
	f.restartAllVMs()
	f.PublishEntry(primary)
	f.eventually("promotion", func() bool { p := f.primary(); return p != nil && p != primary })
	f.awaitWrite(0)
}

// retiredTerm returns the term in which the steward's row lists the server as retired, 0 if it does
// not.
func (f *fleet) retiredTerm(s *linegroup.Server) uint64 {
	var row struct {
		Retired []struct {
			ID   string `json:"id"`
			Term uint64 `json:"term"`
		} `json:"retired"`
	}
	if value := f.Store.Rows("stewards")[f.Groups[0].Name()]; value != nil {
		if err := json.Unmarshal(value, &row); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, r := range row.Retired {
		if r.ID == s.ID {
			return r.Term
		}
	}
	return 0
}

// A promotion ends the pause of a replica that is about to end. It was not retired again for 3 s, and
// the next loss of a primary left the group without one for good (soak --departures --seed 61001).
func TestDepartingReplicaIsRetiredAgainAfterAPromotion(t *testing.T) {
	f := start(t)
	primary, leaving := f.primary(), f.Groups[0].Servers()[2]
	f.addServer(true)
	f.awaitWrite(0)
	leaving.StartDraining()
	f.PublishEntry(leaving)
	f.eventually("retired", func() bool { return f.retiredTerm(leaving) == 1 })
	primary.Crash()
	f.PublishEntry(primary)
	f.eventually("promotion", func() bool { p := f.primary(); return p != nil && p != primary })
	f.eventually("retired again", func() bool { return f.retiredTerm(leaving) == 2 })
}
