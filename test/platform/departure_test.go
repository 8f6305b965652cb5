package platform_test

import (
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
