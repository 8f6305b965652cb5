package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/access"
	"chicoryline/internal/boottime"
	"chicoryline/internal/dispatch"
	"chicoryline/internal/errkind"
	"chicoryline/internal/session"
)

const (
	// maxFailureLinesPerSecond limits the log lines for failed statements.
	maxFailureLinesPerSecond = 60
	// sampleEvery is the number of successful statements for each one that is logged.
	sampleEvery = 256
	// sampleSize and sampleAlpha are the parameters of the exponentially decaying latency
	// sample.
	sampleSize, sampleAlpha = 256, 0.015
	// median and tail are the quantiles on the metrics page.
	median, tail = 0.5, 0.99
	// maxCustomerCounters limits the customers with counters of their own; all others share
	// one set of counters.
	maxCustomerCounters = 128
)

// observer logs and counts the outcomes of statements.
type observer struct {
	log           *logrus.Entry
	registry      gometrics.Registry
	outcomes      map[errkind.Kind]gometrics.Counter
	served        gometrics.Counter
	latency       gometrics.Histogram
	seen          atomic.Uint64
	currentSecond atomic.Int64
	lines         atomic.Int64
	withheld      gometrics.Counter

	// mu guards customers.
	mu        sync.Mutex
	customers map[string]bool
}

func newObserver(log *logrus.Entry) *observer {
	o := &observer{
		log: log, registry: gometrics.NewRegistry(), outcomes: map[errkind.Kind]gometrics.Counter{},
		served: gometrics.NewCounter(), withheld: gometrics.NewCounter(), customers: map[string]bool{},
		latency: gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	for _, k := range errkind.All() {
		o.outcomes[k] = gometrics.GetOrRegisterCounter("statements.refused."+k.String(), o.registry)
	}
	for name, m := range map[string]any{"statements.served": o.served, "statements.latency_us": o.latency, "log.withheld": o.withheld} {
		if err := o.registry.Register(name, m); err != nil {
			log.WithError(err).Error("metric could not be registered")
		}
	}
	return o
}

// Statement records the outcome of a statement.
func (o *observer) Statement(e session.Event) {
	o.count(e)
	if e.Err == nil {
		o.served.Inc(1)
		o.latency.Update(e.Took.Microseconds())
		if o.seen.Add(1)%sampleEvery == 0 {
			o.entry(e).Info("served")
		}
		return
	}
	o.outcomes[errkind.KindOf(e.Err)].Inc(1)
	if !o.mayLog() {
		o.withheld.Inc(1)
		return
	}
	o.entry(e).WithFields(logrus.Fields{"kind": errkind.KindOf(e.Err).String(), "cause": e.Err.Error()}).Warn("not served")
}

// count counts the outcome for the customer and, if the route is known, for its consistency
// level.
func (o *observer) count(e session.Event) {
	outcome := "served"
	if e.Err != nil {
		outcome = "refused." + errkind.KindOf(e.Err).String()
	}
	if e.Group != "" {
		gometrics.GetOrRegisterCounter("routes."+e.Consistency.String()+"."+outcome, o.registry).Inc(1)
	}
	if e.Customer != "" {
		gometrics.GetOrRegisterCounter("customers."+o.counterName(e.Customer)+"."+outcome, o.registry).Inc(1)
	}
}

// counterName returns the name under which the customer's outcomes are counted.
func (o *observer) counterName(customer string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.customers[customer] {
		if len(o.customers) >= maxCustomerCounters {
			return "others"
		}
		o.customers[customer] = true
	}
	return customer
}

// mayLog applies maxFailureLinesPerSecond.
func (o *observer) mayLog() bool {
	now := int64(boottime.Now()) / int64(time.Second)
	if o.currentSecond.Swap(now) != now {
		o.lines.Store(0)
	}
	return o.lines.Add(1) <= maxFailureLinesPerSecond
}

func (o *observer) entry(e session.Event) *logrus.Entry {
	return o.log.WithFields(logrus.Fields{
		"event": "statement", "id": e.ID, "customer": e.Customer, "database": e.Database, "group": e.Group,
		"took_ms": e.Took.Milliseconds(), "config_version": e.ConfigVersion, "config_age_ms": e.ConfigAge.Milliseconds(),
	})
}

// serveMetrics serves counters and latencies as text over HTTP.
func (e *Process) serveMetrics(ctx context.Context) {
	address := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.MetricsPort))
	l, err := net.Listen("tcp4", address)
	if err != nil {
		e.log.WithError(err).Error("metrics server failed")
		return
	}
	server, l := newHTTPServer(l, e.writeMetrics)
	go func() { <-ctx.Done(); server.Close() }()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		e.log.WithError(err).Error("metrics server failed")
	}
}

func (e *Process) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	lines := e.platform.Callers.Lines()
	lines = append(lines, registryLines(e.observer.registry)...)
	if e.platform.Metrics != nil {
		lines = append(lines, registryLines(e.platform.Metrics)...)
	}
	lines = append(lines, fmt.Sprintf("evacuated_domains %d", len(e.evacuatedDomains())))
	lines = append(lines, fmt.Sprintf("store.lost %d", boolToInt(e.access.IsLost())), fmt.Sprintf("store.withheld %d", e.access.Withheld()))
	c := e.view.Config()
	if e.mesh != nil {
		reachable, all := e.mesh.ReachableCount()
		lines = append(lines, fmt.Sprintf("vms %d", all+1), fmt.Sprintf("vms_reachable %d", reachable+1))
	}
	if c != nil && e.mesh != nil && e.mesh.IsLarge() {
		lines = append(lines, fmt.Sprintf("owned_customers %d", e.homes.count(c.Customers, e.settings.VM)), fmt.Sprintf("capacity_cores %.2f", e.settings.Capacity))
	}
	for _, g := range e.router.Groups() {
		census := g.Stats()
		if c != nil && hasGroup(c, g.Name) {
			lines = append(lines, groupLines("groups."+g.Name, census)...)
		}
		for _, s := range g.Servers() {
			stats := s.Conns.Stats()
			prefix := "backend_servers." + s.Info().ID
			lines = append(lines, fmt.Sprintf("%s.connections %d", prefix, stats.Open), fmt.Sprintf("%s.opened %d", prefix, stats.Dials),
				fmt.Sprintf("%s.evicted %d", prefix, stats.Evictions), fmt.Sprintf("%s.waiting %d", prefix, stats.Waiting),
				fmt.Sprintf("%s.primary %d", prefix, boolToInt(census.Primary == s.Info().ID)))
			reads := g.ReadStats(s)
			lines = append(lines, fmt.Sprintf("%s.reads %d", prefix, reads.Picked), fmt.Sprintf("%s.fleet_load %.2f", prefix, reads.Load),
				fmt.Sprintf("%s.connection_limit %d", prefix, stats.Limit))
			lines = append(lines, admissionLines(prefix, stats, s.RetriesWithheld())...)
		}
	}
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

// registryLines returns the metrics of a registry, without counters that are 0.
func registryLines(registry gometrics.Registry) []string {
	var lines []string
	registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			if m.Count() > 0 {
				lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
			}
		case gometrics.Histogram:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s.p50 %.0f", name, s.Percentile(median)), fmt.Sprintf("%s.p99 %.0f", name, s.Percentile(tail)))
		}
	})
	return lines
}

// hasGroup reports whether the configuration names the group. Groups of unrelated entries are
// not exported, which bounds the number of metrics.
func hasGroup(c *access.Config, name string) bool {
	_, ok := c.Groups[name]
	return ok
}

// groupLines returns the metrics of a group. The age of the acknowledged position is -1 if
// none is known.
func groupLines(prefix string, c dispatch.GroupStats) []string {
	return []string{
		fmt.Sprintf("%s.servers %d", prefix, c.Servers), fmt.Sprintf("%s.missing %d", prefix, c.Missing),
		fmt.Sprintf("%s.former %d", prefix, c.Former),
		fmt.Sprintf("%s.cold %d", prefix, c.Cold), fmt.Sprintf("%s.refused_cold %d", prefix, c.ColdRefused), fmt.Sprintf("%s.refused_region %d", prefix, c.OutsideDomains),
		fmt.Sprintf("%s.has_primary %d", prefix, boolToInt(c.Primary != "")),
		fmt.Sprintf("%s.acknowledged_term %d", prefix, c.Acknowledged.Term), fmt.Sprintf("%s.acknowledged_offset %d", prefix, c.Acknowledged.Offset),
		fmt.Sprintf("%s.acknowledged_age_ms %d", prefix, boottime.AgeMillis(c.AcknowledgedAt)),
		fmt.Sprintf("%s.leader_lease_age_ms %d", prefix, boottime.AgeMillis(c.LeadershipConfirmedAt)),
		fmt.Sprintf("%s.proof_statuses %d", prefix, c.Proofs.Statuses), fmt.Sprintf("%s.proofs_failed %d", prefix, c.Proofs.Failed),
	}
}

// boolToInt returns 1 for true and 0 for false, as used in metrics.
func boolToInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
