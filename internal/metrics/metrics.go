// Package metrics counts what callers got, keeps the users' four measures first
// class, and shows them over HTTP.
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
	// sampleSize and sampleAlpha are those of the exponentially decaying samples.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// fairWindow is the time over which customers are compared.
	fairWindow = 10 * time.Second
	// httpTimeout bounds the reading of one HTTP request.
	httpTimeout = 5 * time.Second
)

// Measures holds the counters of one process. The mutex guards groups,
// customers and windowStart.
type Measures struct {
	registry gometrics.Registry
	now      func() time.Time

	mu          sync.Mutex
	groups      map[string]*groupWrites
	customers   map[string]*customerCount
	windowStart time.Time
}

// groupWrites finds the gap in writes of one group.
type groupWrites struct {
	lastSuccess time.Time
	failing     bool
}

// customerCount is what a customer asked for and got in the present window.
type customerCount struct {
	asked  int64
	served int64
}

// New returns measures over the clock.
func New(now func() time.Time) *Measures {
	return &Measures{
		registry: gometrics.NewRegistry(), now: now,
		groups: map[string]*groupWrites{}, customers: map[string]*customerCount{}, windowStart: now(),
	}
}

// Registry returns the registry, for other parts' own counters.
func (m *Measures) Registry() gometrics.Registry { return m.registry }

// Request counts one finished request of a caller.
func (m *Measures) Request(customer, group string, read, replica bool, took time.Duration, err error) {
	if err != nil {
		kind := errkind.KindOf(err)
		m.count("refused."+kind.String(), 1)
		m.count("class."+strings.ReplaceAll(kind.Answer().Class.String(), " ", "_"), 1)
	}
	if read {
		m.count("reads", 1)
		if replica && err == nil {
			m.count("reads.replica", 1)
		}
	} else {
		m.count("writes", 1)
		m.noteWrite(group, err)
	}
	m.latency(read).Update(took.Microseconds())
	m.noteCustomer(customer, err)
}

func (m *Measures) count(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

func (m *Measures) latency(read bool) gometrics.Histogram {
	name := "latency_us.write"
	if read {
		name = "latency_us.read"
	}
	return m.registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(gometrics.Histogram)
}

// noteWrite measures the gap of a group: from the last acknowledged write
// before a failure to the first one after it.
func (m *Measures) noteWrite(group string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[group]
	if g == nil {
		g = &groupWrites{}
		m.groups[group] = g
	}
	if err != nil {
		g.failing = g.failing || isOutage(err)
		return
	}
	now := m.now()
	if g.failing && !g.lastSuccess.IsZero() {
		gap := now.Sub(g.lastSuccess).Milliseconds()
		gometrics.GetOrRegisterGauge("write_gap_ms."+group, m.registry).Update(gap)
	}
	g.lastSuccess, g.failing = now, false
}

// isOutage reports whether the error says that the group takes no writes.
func isOutage(err error) bool {
	switch errkind.KindOf(err) {
	case errkind.NoPrimary, errkind.OutcomeUnknown, errkind.Unreachable:
		return true
	}
	return false
}

// noteCustomer keeps the share of requests that the worst-served customer got.
func (m *Measures) noteCustomer(customer string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.now(); now.Sub(m.windowStart) > fairWindow {
		m.publishWorst()
		m.customers, m.windowStart = map[string]*customerCount{}, now
	}
	c := m.customers[customer]
	if c == nil {
		c = &customerCount{}
		m.customers[customer] = c
	}
	if errkind.Is(err, errkind.OverRate) {
		return
	}
	c.asked++
	if err == nil {
		c.served++
	}
}

// publishWorst sets the gauges of the window that ends. Refusals over the
// customer's rate are its own doing and do not count.
func (m *Measures) publishWorst() {
	worst := 1.0
	for _, c := range m.customers {
		if c.asked > 0 {
			worst = min(worst, float64(c.served)/float64(c.asked))
		}
	}
	gometrics.GetOrRegisterGaugeFloat64("worst_customer_share", m.registry).Update(worst)
}

// ReplicaReadShare returns the part of reads that replicas served.
func (m *Measures) ReplicaReadShare() float64 {
	reads := gometrics.GetOrRegisterCounter("reads", m.registry).Count()
	if reads == 0 {
		return 0
	}
	return float64(gometrics.GetOrRegisterCounter("reads.replica", m.registry).Count()) / float64(reads)
}

// Lines returns every metric as "name=value", sorted by name.
func (m *Measures) Lines() []string {
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

// Serve answers GET /metrics on the listener until it is closed.
func (m *Measures) Serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write([]byte(strings.Join(m.Lines(), "\n") + "\n"))
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: httpTimeout}
	_ = server.Serve(listener)
}
