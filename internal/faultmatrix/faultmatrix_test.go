package faultmatrix

import (
	"errors"
	"strings"
	"testing"

	"chicoryline/internal/statechart"
)

func TestMatrix(t *testing.T) {
	chart := statechart.MustLoad("stop")
	states := len(chart.States())
	m := New(chart)
	faults := []string{"kill", "cut", "freeze"}
	cells := append(Singles(chart, faults), Pairs(chart, faults)...)
	if want := states * (3 + 3); len(cells) != want {
		t.Fatalf("%d cells, want %d", len(cells), want)
	}
	m.Run(cells[1:], func(c Cell) error {
		if c.State == "draining" && len(c.Faults) == 1 {
			return errors.New("cell failure")
		}
		return nil
	})
	if got, want := m.Summary(), "cells=29 passed=26 red=3"; got != want {
		t.Fatalf("summary %q, want %q", got, want)
	}
	err := m.Err()
	if err == nil || strings.Count(err.Error(), "cell failure") != 3 {
		t.Fatalf("Err: %v", err)
	}
}

func TestStateWithoutCellFails(t *testing.T) {
	chart := statechart.MustLoad("stop")
	m := New(chart)
	m.Run(Singles(chart, []string{"kill"})[1:], func(Cell) error { return nil })
	if err := m.Err(); err == nil || !strings.Contains(err.Error(), "stop/serving: no cell") {
		t.Fatalf("Err: %v", err)
	}
}
