// Package metrics records the outcomes and latencies of requests, and serves the metrics
// over HTTP. Besides plain counters it computes the users' four main metrics, among them
// the share of reads served by replicas, the gap in writes of each group, and the share
// of requests served for the worst-served customer.
package metrics

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"chicoryline/internal/errkind"
)

const (
	// sampleSize and sampleAlpha are the parameters of the exponentially decaying samples
	// behind the latency histograms.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// fairnessWindow is the length of the window over which customers are compared.
	fairnessWindow = 10 * time.Second
	// httpTimeout bounds the time to read the header of one HTTP request.
	httpTimeout = 5 * time.Second
)

// Recorder records the metrics of one process. The mutex guards groups, customers and
// windowStart.
type Recorder struct {
	registry gometrics.Registry
	now      func() time.Time

	mu          sync.Mutex
	groups      map[string]*writeGap
	customers   map[string]*customerCounts
	windowStart time.Time
}

// writeGap tracks the gap between successful writes of one group during an outage.
type writeGap struct {
	lastSuccess time.Time
	isFailing   bool
}

// customerCounts counts the requests of one customer in the current window.
type customerCounts struct {
	requested int64
	served    int64
}

// New returns a recorder that uses the given clock.
func New(now func() time.Time) *Recorder {
	return &Recorder{
		registry: gometrics.NewRegistry(), now: now,
		groups: map[string]*writeGap{}, customers: map[string]*customerCounts{}, windowStart: now(),
	}
}

// Registry returns the registry, for metrics of other packages.
func (m *Recorder) Registry() gometrics.Registry { return m.registry }

// RecordRequest records one finished request of a caller.
func (m *Recorder) RecordRequest(customer, group string, read, replica bool, took time.Duration, err error) {
	if err != nil {
		kind := errkind.KindOf(err)
		m.increment("refused."+kind.String(), 1)
		m.increment("class."+strings.ReplaceAll(kind.Answer().Class.String(), " ", "_"), 1)
	}
	if read {
		m.increment("reads", 1)
		if replica && err == nil {
			m.increment("reads.replica", 1)
		}
	} else {
		m.increment("writes", 1)
		m.recordWrite(group, err)
	}
	m.latency(read).Update(took.Microseconds())
	m.recordCustomer(customer, err)
}

func (m *Recorder) increment(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

func (m *Recorder) latency(read bool) gometrics.Histogram {
	name := "latency_us.write"
	if read {
		name = "latency_us.read"
	}
	return m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}

// recordWrite records a write of the group. After an outage it sets the group's
// write_gap_ms to the time from the last acknowledged write before the outage to the
// first one after it.
func (m *Recorder) recordWrite(group string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[group]
	if g == nil {
		g = &writeGap{}
		m.groups[group] = g
	}
	if err != nil {
		g.isFailing = g.isFailing || isOutage(err)
		return
	}
	now := m.now()
	if g.isFailing && !g.lastSuccess.IsZero() {
		gap := now.Sub(g.lastSuccess).Milliseconds()
		gometrics.GetOrRegisterGauge("write_gap_ms."+group, m.registry).Update(gap)
	}
	g.lastSuccess, g.isFailing = now, false
}

// isOutage reports whether the error means that the group does not accept writes.
func isOutage(err error) bool {
	switch errkind.KindOf(err) {
	case errkind.NoPrimary, errkind.OutcomeUnknown, errkind.Unreachable:
		return true
	}
	return false
}

// recordCustomer counts a request of the customer. If the window is over, it first
// publishes it and starts a new one. Requests rejected because the customer exceeded its
// rate are not counted: the customer itself causes them.
func (m *Recorder) recordCustomer(customer string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.now(); now.Sub(m.windowStart) > fairnessWindow {
		m.publishWorstCustomerShare()
		m.customers, m.windowStart = map[string]*customerCounts{}, now
	}
	c := m.customers[customer]
	if c == nil {
		c = &customerCounts{}
		m.customers[customer] = c
	}
	if errkind.Is(err, errkind.OverRate) {
		return
	}
	c.requested++
	if err == nil {
		c.served++
	}
}

// publishWorstCustomerShare sets worst_customer_share for the window that ends: the
// lowest share of requests served among all customers.
func (m *Recorder) publishWorstCustomerShare() {
	worst := 1.0
	for _, c := range m.customers {
		if c.requested > 0 {
			worst = min(worst, float64(c.served)/float64(c.requested))
		}
	}
	gometrics.GetOrRegisterGaugeFloat64("worst_customer_share", m.registry).Update(worst)
}

// ReplicaReadShare returns the share of reads that were served by replicas.
func (m *Recorder) ReplicaReadShare() float64 {
	reads := gometrics.GetOrRegisterCounter("reads", m.registry).Count()
	if reads == 0 {
		return 0
	}
	return float64(gometrics.GetOrRegisterCounter("reads.replica", m.registry).Count()) / float64(reads)
}

// Lines returns every metric as "name=value", sorted by name.
func (m *Recorder) Lines() []string {
	lines := []string{"replica_read_share=" + formatFloat(m.ReplicaReadShare())}
	m.registry.Each(func(name string, metric any) {
		switch v := metric.(type) {
		case gometrics.Counter:
			lines = append(lines, name+"="+strconv.FormatInt(v.Count(), 10))
		case gometrics.Gauge:
			lines = append(lines, name+"="+strconv.FormatInt(v.Value(), 10))
		case gometrics.GaugeFloat64:
			lines = append(lines, name+"="+formatFloat(v.Value()))
		case gometrics.Histogram:
			s := v.Snapshot()
			lines = append(lines, name+".p50="+formatFloat(s.Percentile(0.5)), name+".p99="+formatFloat(s.Percentile(0.99)))
		}
	})
	sort.Strings(lines)
	return lines
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', 4, 64) }

// Serve serves GET /metrics on the listener until the listener is closed.
func (m *Recorder) Serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(strings.Join(m.Lines(), "\n") + "\n"))
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
	_ = server.Serve(listener)
}
