package entry

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/mesh"
)

// A VM that starts beside one that has run for a window must not slow its customers, and an update
// that was sent before all VMs restarted tells nothing of the present.
func TestUpdateOfASettledVMEndsTheSlowStart(t *testing.T) {
	perSecond := func(settled bool, since boottime.Time) float64 {
		log := logrus.New()
		log.SetOutput(io.Discard)
		e := New(Settings{VM: "vm1", RateWindow: 5 * time.Second}, Platform{}, logrus.NewEntry(log))
		c := access.Customer{Name: "c", Rate: 1000, Burst: 1000}
		e.limiter.Configure(map[string]access.Customer{c.Name: c})
		e.receiveUpdate("vm2", mesh.StateUpdate{Settled: settled}, since)
		time.Sleep(100 * time.Millisecond)
		e.limiter.Report()
		for n := 0; ; n++ {
			if _, ok := e.limiter.Admit(c); !ok {
				return float64(n) / boottime.Since(e.started).Seconds()
			}
		}
	}
	slow, stale, full := perSecond(false, boottime.Now()), perSecond(true, 0), perSecond(true, boottime.Now())
	if full < 3*slow || full < 3*stale {
		t.Errorf("%.0f operations a second admitted after an update of a settled VM, %.0f after one of another and %.0f after a stale one, want 3 times as many", full, slow, stale)
	}
}
