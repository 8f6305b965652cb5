package entry

import (
	"fmt"
	"io"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/errkind"
	"chicoryline/internal/session"
)

func TestOutcomesAreCountedByCustomerAndRoute(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := newObserver(logrus.NewEntry(log))
	event := session.Event{Customer: "c", Group: "g", Consistency: access.ReadYourWrites}
	o.Statement(event)
	event.Err = errkind.New(errkind.OverRate, "test")
	o.Statement(event)
	o.Statement(session.Event{Err: errkind.New(errkind.UnknownRoute, "test")}) // neither is known
	for name, want := range map[string]int64{
		"customers.c.served": 1, "customers.c.refused.over_rate": 1,
		"routes.read_your_writes.served": 1, "routes.read_your_writes.refused.over_rate": 1,
		"statements.refused.unknown_route": 1,
	} {
		c, ok := o.registry.Get(name).(gometrics.Counter)
		if !ok || c.Count() != want {
			t.Errorf("%s: %v", name, o.registry.Get(name))
		}
	}
}

func TestCountersOfCustomersAreBounded(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := newObserver(logrus.NewEntry(log))
	for i := range 3 * maxCounted {
		o.Statement(session.Event{Customer: fmt.Sprint("c", i)})
	}
	n := 0
	o.registry.Each(func(string, any) { n++ })
	if others := o.registry.Get("customers.others.served").(gometrics.Counter).Count(); others != 2*maxCounted || n > maxCounted+60 {
		t.Errorf("%d counters, %d statements of others", n, others)
	}
}
