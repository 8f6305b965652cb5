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
	simTrigger       = time.Second             // until the primary dies or the switchover is requested
	simFaultDuration = 2500 * time.Millisecond // from the injection to the end of all faults
	simRecovery      = 3500 * time.Millisecond // from the end of the faults to the end of the run
	simEntryTimeout  = 4 * time.Second         // a cell fails if its state has not been entered by then
)

func failoverAt(state string) *statechart.Machine {
	return statechart.MustLoad(FailoverChart).StartAt(state)
}

// runCell runs one cell of a chart. The seed decides whether the first fault is injected
// before, right after or shortly after the effects of entering the state are carried out,
// and how long after it the second fault is injected.
func runCell(c faultmatrix.Cell, v variant) error {
	_, err := runVariantCell(c, v)
	return err
}

// runVariantCell is runCell that also returns the number of safety violations.
func runVariantCell(c faultmatrix.Cell, v variant) (int, error) {
	s := newSim(c.Seed(), v)
	injectedAt := time.Duration(0)
	inject := func(vm *simVM) func() {
		return func() {
			injectedAt = s.now.Sub(simStart)
			faultNamed(c.Faults[0]).inject(s, vm)
			for _, name := range c.Faults[1:] {
				s.after(time.Duration(s.rand.Int63n(int64(60*time.Millisecond))), func() { faultNamed(name).inject(s, vm) })
			}
		}
	}
	planned := false
	s.onEnter = func(vm *simVM, chart, state string) (before, after func()) {
		if injectedAt == 0 {
			s.steerToState(c, chart, state)
		}
		if planned || injectedAt > 0 || chart != c.Chart || state != c.State {
			return nil, nil
		}
		planned = true
		switch s.rand.Intn(3) {
		case 0:
			return inject(vm), nil
		case 1:
			return nil, inject(vm)
		}
		return nil, func() { s.after(s.networkDelay(), inject(vm)) }
	}
	s.startTrigger(c, inject)
	for at := simTrigger; injectedAt == 0; at += TickInterval {
		if at > simEntryTimeout {
			return 0, errors.Errorf("state was not entered")
		}
		s.run(at)
	}
	s.run(injectedAt + simFaultDuration)
	s.heal()
	s.run(injectedAt + simFaultDuration + simRecovery)
	err := s.check()
	return len(s.record.safetyViolations), err
}

// startTrigger starts the failover or switchover in which the cell's state is entered.
func (s *sim) startTrigger(c faultmatrix.Cell, inject func(*simVM) func()) {
	if c.Chart == HandoverChart {
		s.after(simTrigger, s.vms[0].ifCurrent(func() { s.vms[0].step(HandoverRequested{ID: 1, Target: "b"}) }))
		return
	}
	s.after(simTrigger, func() { s.group.SetDown("a", true) })
	if c.State == stateWatching {
		s.after(simTrigger-100*time.Millisecond, inject(s.vms[0]))
	}
}

// steerToState injects the additional fault without which some states are never entered.
func (s *sim) steerToState(c faultmatrix.Cell, chart, state string) {
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
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // runs are short and allocate a lot
	charts := []*statechart.Chart{statechart.MustLoad(FailoverChart), statechart.MustLoad(HandoverChart)}
	m := faultmatrix.New(charts...)
	for _, chart := range charts {
		m.Run(faultmatrix.Singles(chart, faultNames(chart.Name)), func(c faultmatrix.Cell) error { return runCell(c, correct) })
		if !testing.Short() {
			m.Run(faultmatrix.Pairs(chart, faultNames(chart.Name)), func(c faultmatrix.Cell) error { return runCell(c, correct) })
		}
	}
	t.Logf("\n%s%s", m.Table(), m.Summary())
	if err := m.Err(); err != nil {
		t.Fatal(err)
	}
}

// TestMatrixDetectsFaultyVariants checks that the matrix detects designs that violate
// safety. TestHealthyPrimaryIsNotDeposed and TestHandoverToReplicaThatFellBehind cover two
// more.
func TestMatrixDetectsFaultyVariants(t *testing.T) {
	cases := []struct {
		name    string
		variant variant
	}{
		{"acknowledge at once", ackWithoutMajority},
		{"lease without fencing", leaseWithoutFencing},
		{"promote the first reachable", promoteFirstReachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := faultmatrix.New()
			cells := faultmatrix.Singles(statechart.MustLoad(FailoverChart), faultNames(FailoverChart))
			var violations atomic.Int64
			m.Run(cells, func(cell faultmatrix.Cell) error {
				n, err := runVariantCell(cell, c.variant)
				violations.Add(int64(n))
				return err
			})
			t.Logf("%s, safety violations: %d", m.Summary(), violations.Load())
			if violations.Load() == 0 {
				t.Fatal("the matrix detected no safety violation")
			}
		})
	}
}
