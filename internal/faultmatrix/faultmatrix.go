// Package faultmatrix runs tests that inject every fault, and every pair of faults, in
// every state of a statechart. A test provides the faults and a function that runs one
// cell.
package faultmatrix

import (
	"fmt"
	"runtime"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/juju/errors"

	"chicoryline/internal/statechart"
)

// Cell is one test run: the faults are injected when the chart enters the state.
type Cell struct {
	Chart  string
	State  string
	Faults []string
}

// String returns "chart/state/fault+fault".
func (c Cell) String() string {
	return c.Chart + "/" + c.State + "/" + strings.Join(c.Faults, "+")
}

// Seed returns a random seed that depends only on the cell's name.
func (c Cell) Seed() int64 {
	var seed uint64 = 14695981039346656037 // FNV-1a
	for _, b := range []byte(c.String()) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return int64(seed >> 1)
}

// Singles returns a cell for each fault in each state of the chart.
func Singles(chart *statechart.Chart, faults []string) []Cell {
	var cells []Cell
	for _, state := range chart.States() {
		for _, f := range faults {
			cells = append(cells, Cell{chart.Name, state, []string{f}})
		}
	}
	return cells
}

// Pairs returns a cell for each pair of different faults in each state. The order within
// the pairs alternates so that each fault comes first in about half of its pairs.
func Pairs(chart *statechart.Chart, faults []string) []Cell {
	var cells []Cell
	for _, state := range chart.States() {
		for i, f := range faults {
			for j, g := range faults[:i] {
				pair := []string{f, g}
				if (i+j)%2 == 0 {
					pair = []string{g, f}
				}
				cells = append(cells, Cell{chart.Name, state, pair})
			}
		}
	}
	return cells
}

// Matrix collects the results of cells. It is safe for concurrent use.
type Matrix struct {
	charts []*statechart.Chart

	mu      sync.Mutex
	results map[string]result
}

type result struct {
	cell Cell
	err  error
}

// New returns an empty matrix for the charts.
func New(charts ...*statechart.Chart) *Matrix {
	return &Matrix{charts: charts, results: map[string]result{}}
}

// Run runs the cells on GOMAXPROCS goroutines and records their results. run must return an
// error if a fault could not be injected.
func (m *Matrix) Run(cells []Cell, run func(Cell) error) {
	queue := make(chan Cell)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for c := range queue {
				m.Record(c, run(c))
			}
		})
	}
	for _, c := range cells {
		queue <- c
	}
	close(queue)
	workers.Wait()
}

// Record stores the result of one cell; a nil error means that it passed.
func (m *Matrix) Record(c Cell, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.results[c.String()] = result{c, err}
}

// Err returns nil if every state of every chart has a cell and all cells passed. Otherwise
// its error lists the states without a cell, then the failed cells sorted by name.
func (m *Matrix) Err() error {
	var problems []string
	for _, chart := range m.charts {
		for _, state := range chart.States() {
			if m.count(chart.Name, state).cells == 0 {
				problems = append(problems, fmt.Sprintf("%s/%s: no cell", chart.Name, state))
			}
		}
	}
	problems = append(problems, m.failures()...)
	if len(problems) > 0 {
		return errors.Errorf("%s", strings.Join(problems, "\n"))
	}
	return nil
}

// failures returns the failed cells and their errors, sorted by name.
func (m *Matrix) failures() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for name, r := range m.results {
		if r.err != nil {
			list = append(list, fmt.Sprintf("%s: %v", name, r.err))
		}
	}
	sort.Strings(list)
	return list
}

type counts struct{ cells, passed, failed int }

// count counts the cells of a state. An empty chart or state matches all.
func (m *Matrix) count(chart, state string) counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	var n counts
	for _, r := range m.results {
		if chart != "" && r.cell.Chart != chart || state != "" && r.cell.State != state {
			continue
		}
		n.cells++
		if r.err == nil {
			n.passed++
		} else {
			n.failed++
		}
	}
	return n
}

// Summary returns the line "cells=N passed=N red=N".
func (m *Matrix) Summary() string {
	n := m.count("", "")
	return fmt.Sprintf("cells=%d passed=%d red=%d", n.cells, n.passed, n.failed)
}

// Table returns a text table with the counts for each state of each chart.
func (m *Matrix) Table() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "chart\tstate\tcells\tpassed\tred")
	for _, chart := range m.charts {
		for _, state := range chart.States() {
			n := m.count(chart.Name, state)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", chart.Name, state, n.cells, n.passed, n.failed)
		}
	}
	_ = w.Flush() // writes to a strings.Builder cannot fail
	return b.String()
}
