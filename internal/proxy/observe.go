package proxy

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/errkind"
	"chicoryline/internal/pool"
	"chicoryline/internal/timeline"
)

// recordEvent adds an event to the timeline and writes it to the log. The fields group,
// customer and request (or patch) set the event's own fields; all others go to its detail.
func (p *Proxy) recordEvent(kind string, e timeline.Event, fields map[string]string) {
	e.Kind = kind
	var details []string
	if e.Detail != "" {
		details = append(details, e.Detail)
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		switch name {
		case "group":
			e.Group = fields[name]
		case "customer":
			e.Customer = fields[name]
		case "request", "patch":
			e.Request = fields[name]
		default:
			details = append(details, name+"="+fields[name])
		}
	}
	e.Detail = strings.Join(details, " ")
	p.ring.Add(e)
	entry := p.log.WithField("event", kind)
	for name, value := range map[string]string{"group": e.Group, "customer": e.Customer, "request": e.Request, "detail": e.Detail} {
		if value != "" {
			entry = entry.WithField(name, value)
		}
	}
	entry.Info("event")
}

func (p *Proxy) onEvent(kind string, fields map[string]string) {
	p.recordEvent(kind, timeline.Event{}, fields)
}

// Request implements caller.Observer.
func (p *Proxy) Request(customer, group string, read, replica bool, took time.Duration, err error) {
	p.measures.RecordRequest(customer, group, read, replica, took, err)
	if err == nil {
		return
	}
	kind := errkind.KindOf(err)
	if level := kind.Answer().Level; p.log.Logger.IsLevelEnabled(level) {
		p.log.WithFields(logrus.Fields{"event": "request_refused", "customer": customer, "group": group, "kind": kind.String()}).
			WithError(err).Log(level, "request")
	}
	if kind == errkind.OverRate || kind.Answer().Level > logrus.WarnLevel {
		return
	}
	p.ring.Add(timeline.Event{Kind: "request_refused", Group: group, Customer: customer, Detail: kind.String()})
}

// CallerEvent implements caller.Observer.
func (p *Proxy) CallerEvent(kind, customer, route, detail string) {
	p.log.WithFields(logrus.Fields{"event": kind, "customer": customer, "route": route, "detail": detail}).Debug("caller")
	if kind != "login" {
		p.ring.Add(timeline.Event{Kind: kind, Customer: customer, Detail: strings.TrimSpace(route + " " + detail)})
	}
}

// PoolEvent implements pool.Observer.
func (p *Proxy) PoolEvent(kind string, session pool.SessionID, group, instance, detail string) {
	p.ring.Add(timeline.Event{Kind: kind, Group: group, Request: sessionName(session), Detail: instance + " " + detail})
	p.log.WithFields(logrus.Fields{"event": kind, "group": group, "instance": instance, "request": sessionName(session), "detail": detail}).Warn("pool")
}

func sessionName(id pool.SessionID) string { return fmt.Sprintf("%s/%d", id.VM, id.Number) }
