package connset

import (
	"context"
	"testing"
	"time"

	"chicoryline/internal/statement"
)

// matchedConn tells whether answers were repeated.
type matchedConn struct {
	fakeConn
	repeated, unsolicited bool
}

func (c *matchedConn) Repeated() bool { return c.repeated }
func (c *matchedConn) Reusable() bool { return !c.repeated && !c.unsolicited }

type matchedDialer struct{ conns []*matchedConn }

func (d *matchedDialer) Dial(context.Context, string, string, string, string) (statement.Conn, error) {
	c := &matchedConn{}
	d.conns = append(d.conns, c)
	return c, nil
}

// Guards against handing out a connection on which more answers may be repeated.
func TestConnectionWithRepeatedAnswersIsNotUsedAgain(t *testing.T) {
	for name, end := range map[string]func(*Conn, *matchedConn){
		"released":                   func(c *Conn, raw *matchedConn) { raw.repeated = true; c.Release() },
		"rolled back":                func(c *Conn, raw *matchedConn) { raw.repeated = true; c.RollbackAndRelease(fakeTexts{}) },
		"input while it was idle":    func(c *Conn, raw *matchedConn) { c.Release(); raw.unsolicited = true },
		"repeated after the release": func(c *Conn, raw *matchedConn) { c.RollbackAndRelease(fakeTexts{}); raw.repeated = true },
	} {
		t.Run(name, func(t *testing.T) {
			d := &matchedDialer{}
			s := New(d, "", "g", "s", 1)
			first := acquire(t, s, patientRequest)
			end(first, d.conns[0])
			if second := acquire(t, s, patientRequest); second == first || !d.conns[0].closed {
				t.Errorf("used again: %v, closed: %v", second == first, d.conns[0].closed)
			}
			if stats := s.Stats(); stats.Open != 1 || stats.Idle != 0 {
				t.Errorf("%d open, %d idle, want 1 in use", stats.Open, stats.Idle)
			}
		})
	}
}

// A request that waits gets the place of a connection that is closed for repeated answers.
func TestWaiterGetsThePlaceOfAConnectionWithRepeatedAnswers(t *testing.T) {
	d := &matchedDialer{}
	s := New(d, "", "g", "s", 1)
	first := acquire(t, s, patientRequest)
	served := make(chan error, 1)
	go func() {
		_, err := s.Acquire(t.Context(), patientRequest)
		served <- err
	}()
	for s.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	d.conns[0].repeated = true
	first.Release()
	if err := <-served; err != nil || len(d.conns) != 2 {
		t.Errorf("%v, %d connections opened, want 2", err, len(d.conns))
	}
}
