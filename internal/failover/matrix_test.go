package failover

import (
	"runtime/debug"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/faultmatrix"
	"chicoryline/internal/statechart"
)

const (
	simTrigger  = time.Second             // the primary dies, or the hand-over is asked for
	simHealing  = 2500 * time.Millisecond // from the strike to the end of all faults
	simSettling = 3500 * time.Millisecond // from there to the end of the run
	simLimit    = 4 * time.Second         // a state that is not entered by then fails its cell
)

func failoverAt(state string) *statechart.Machine {
	return statechart.MustLoad(FailoverChart).StartAt(state)
}

// runCell runs one cell of a chart. The seed decides whether the first fault
// strikes before, after or shortly after the effects of entering the state
// leave, and how long after it the second one does.
func runCell(c faultmatrix.Cell, n naive) error {
	_, err := runNaiveCell(c, n)
	return err
}

// runNaiveCell also returns the number of promises to callers that were broken.
func runNaiveCell(c faultmatrix.Cell, n naive) (int, error) {
	s := newSim(c.Seed(), n)
	struck := time.Duration(0)
	strike := func(vm *simVM) func() {
		return func() {
			struck = s.now.Sub(simStart)
			faultNamed(c.Faults[0]).strike(s, vm)
			for _, name := range c.Faults[1:] {
				s.after(time.Duration(s.rand.Int63n(int64(60*time.Millisecond))), func() { faultNamed(name).strike(s, vm) })
			}
		}
	}
	planned := false
	s.hook = func(vm *simVM, chart, state string) (before, after func()) {
		if struck == 0 {
			s.lead(c, chart, state)
		}
		if planned || struck > 0 || chart != c.Chart || state != c.State {
			return nil, nil
		}
		planned = true
		switch s.rand.Intn(3) {
		case 0:
			return strike(vm), nil
		case 1:
			return nil, strike(vm)
		}
		return nil, func() { s.after(s.travel(), strike(vm)) }
	}
	s.start(c, strike)
	for at := simTrigger; struck == 0; at += TickInterval {
		if at > simLimit {
			return 0, errors.Errorf("state was not entered")
		}
		s.run(at)
	}
	s.run(struck + simHealing)
	s.heal()
	s.run(struck + simHealing + simSettling)
	err := s.check()
	return len(s.record.broken), err
}

// start sets off what leads to the cell's state.
func (s *sim) start(c faultmatrix.Cell, strike func(*simVM) func()) {
	if c.Chart == HandoverChart {
		s.after(simTrigger, s.vms[0].guard(func() { s.vms[0].step(HandoverRequested{ID: 1, Target: "b"}) }))
		return
	}
	s.after(simTrigger, func() { s.group.SetDown("a", true) })
	if c.State == stateWatching {
		s.after(simTrigger-100*time.Millisecond, strike(s.vms[0]))
	}
}

// lead steers a run to a state that needs a fault of its own to be reached.
func (s *sim) lead(c faultmatrix.Cell, chart, state string) {
	if chart != c.Chart {
		return
	}
	switch {
	case c.State == stateReadingBack && state == stateClaiming:
		s.loseAnswers = 1
	case c.State == stateAborted && state == stateDraining:
		s.group.SetDown("a", true)
	}
}

func TestFaultMatrix(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // runs are short and leave much garbage
	charts := []*statechart.Chart{statechart.MustLoad(FailoverChart), statechart.MustLoad(HandoverChart)}
	m := faultmatrix.New(charts...)
	for _, chart := range charts {
		m.Run(faultmatrix.Singles(chart, faultNames(chart.Name)), func(c faultmatrix.Cell) error { return runCell(c, sound) })
		if !testing.Short() {
			m.Run(faultmatrix.Pairs(chart, faultNames(chart.Name)), func(c faultmatrix.Cell) error { return runCell(c, sound) })
		}
	}
	t.Logf("\n%s%s", m.Table(), m.Summary())
	if err := m.Err(); err != nil {
		t.Fatal(err)
	}
}

// TestNaiveDesignsAreRed shows that the matrix notices designs that break a
// promise to callers. Two more are in TestHealthyPrimaryIsNotDeposed and
// TestHandoverToReplicaThatFellBehind.
func TestNaiveDesignsAreRed(t *testing.T) {
	cases := []struct {
		name  string
		naive naive
	}{
		{"acknowledge at once", ackAtOnce},
		{"lease without fencing", leaseOnly},
		{"promote the first reachable", firstReachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := faultmatrix.New()
			cells := faultmatrix.Singles(statechart.MustLoad(FailoverChart), faultNames(FailoverChart))
			var broken atomic.Int64
			m.Run(cells, func(cell faultmatrix.Cell) error {
				n, err := runNaiveCell(cell, c.naive)
				broken.Add(int64(n))
				return err
			})
			t.Logf("%s, promises broken: %d", m.Summary(), broken.Load())
			if broken.Load() == 0 {
				t.Fatal("no promise to callers was broken")
			}
		})
	}
}
