// Package bench measures the product against its baselines on test doubles inside one
// process: the latency that a proxy adds, the CPU time of a statement, the memory of an idle
// caller connection, and the load figures at the users' sizes.
package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/load"
	"chicoryline/internal/naive"
	"chicoryline/internal/settings"
	"chicoryline/internal/site"
)

const (
	// latencyStatements is the number of statements per mode and kind.
	latencyStatements = 3000
	// latencyRounds is the number of rounds over which the statements of each mode are split.
	latencyRounds = 3
	// throughputConns and throughputTime are the concurrency and duration of the closed loop.
	throughputConns = 16
	throughputTime  = 2 * time.Second
	// histogramMax is the highest recorded latency, in microseconds; longer ones are clamped.
	histogramMax    = 10_000_000
	histogramDigits = 3

	readStatement  = "SELECT v FROM sessions WHERE k = $1"
	writeStatement = "UPDATE sessions SET v = $2 WHERE k = $1"
)

// mode is one way to connect to the backend server.
type mode struct {
	name    string
	connect func(ctx context.Context) (*pgx.Conn, error)
}

// sample holds the results of one mode.
type sample struct {
	reads, writes   *hdrhistogram.Histogram
	perSecond       float64
	cpuPerStatement time.Duration // of the whole process, callers and backend servers included
}

// latencySpec returns a site without simulated latency, to show what the proxy itself adds.
func latencySpec() site.Spec {
	s := site.Kremstal()
	s.Name, s.Groups, s.Proxies = "loopback", 1, 3
	s.OneWay, s.ClientDelay, s.ConnectDelay, s.ReplicationLag = 0, 0, 0, 0
	s.Slots, s.Direct = throughputConns, true
	s.Customers = []site.Customer{{Name: "bench", Rate: 1e6, Burst: 1e6}}
	return s
}

// Latency measures one site directly, through the pass-through proxy and through the
// product, in alternating rounds, and prints a line for each mode.
func Latency(ctx context.Context, out io.Writer, log *logrus.Entry) error {
	s, err := site.Start(ctx, latencySpec(), log)
	if err != nil {
		return err
	}
	defer s.Close()
	plain, err := startNaive(s)
	if err != nil {
		return err
	}
	defer plain.Close()
	modes := latencyModes(s, plain)
	if err := prepareRow(ctx, modes[0]); err != nil {
		return err
	}
	samples := make([]sample, len(modes))
	for i := range samples {
		samples[i] = sample{reads: newHistogram(), writes: newHistogram()}
	}
	for range latencyRounds {
		for i, m := range modes {
			if err := measureMode(ctx, m, &samples[i]); err != nil {
				return errors.Annotate(err, m.name)
			}
		}
	}
	for i, m := range modes {
		if err := measureThroughput(ctx, m, &samples[i]); err != nil {
			return errors.Annotate(err, m.name)
		}
	}
	printLatency(out, modes, samples)
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func startNaive(s *site.Site) (*naive.Proxy, error) {
	return startNaiveAt(s, site.Location{Name: "naive", Domain: site.DomainName(0)})
}

// startNaiveAt starts a pass-through proxy at the location.
func startNaiveAt(s *site.Site, place site.Location) (*naive.Proxy, error) {
	primaries := map[string]string{}
	for g := range s.Spec.Groups {
		primaries[site.GroupName(g)] = s.Instances[s.Primary(site.GroupName(g))].Addr()
	}
	p, err := naive.Start("127.0.0.1:0", naive.Config{
		Keys: s.Keys, Primaries: primaries, User: settings.Default().BackendUser, Password: site.BackendPassword,
		Dial: s.Network.Dial(place),
	})
	if err == nil {
		s.Network.SetLocation(p.Addr(), place)
	}
	return p, err
}

func latencyModes(s *site.Site, plain *naive.Proxy) []mode {
	group := site.GroupName(0)
	through := func(address, route string) func(context.Context) (*pgx.Conn, error) {
		return func(context.Context) (*pgx.Conn, error) {
			return load.Connect(address, "bench", s.Keys["bench"], route, "", s.DialClient())
		}
	}
	return []mode{
		{"direct", func(ctx context.Context) (*pgx.Conn, error) { return s.ConnectInstance(ctx, s.Primary(group)) }},
		{"pass_through", through(plain.Addr(), group)},
		{"product_current", through(s.Proxies[0].CallerAddress(), group)},
		{"product_aged", through(s.Proxies[0].CallerAddress(), group+"-aged")},
	}
}

func prepareRow(ctx context.Context, direct mode) error {
	conn, err := direct.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO sessions (k, v) VALUES ('bench', 0)")
	return errors.Trace(err)
}

func measureMode(ctx context.Context, m mode, s *sample) error {
	conn, err := m.connect(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for i := range latencyStatements / latencyRounds {
		if err := recordLatency(s.reads, func() error { return readOnce(ctx, conn) }); err != nil {
			return err
		}
		err := recordLatency(s.writes, func() error {
			_, err := conn.Exec(ctx, writeStatement, "bench", int64(i))
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func recordLatency(h *hdrhistogram.Histogram, do func() error) error {
	started := time.Now()
	if err := do(); err != nil {
		return err
	}
	return h.RecordValue(min(time.Since(started).Microseconds(), histogramMax))
}

func readOnce(ctx context.Context, conn *pgx.Conn) error {
	var v int64
	return conn.QueryRow(ctx, readStatement, "bench").Scan(&v)
}

// measureThroughput reads in a closed loop over several connections and records throughput
// and CPU time.
func measureThroughput(ctx context.Context, m mode, s *sample) error {
	conns := make([]*pgx.Conn, throughputConns)
	for i := range conns {
		conn, err := m.connect(ctx)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(ctx) }()
		conns[i] = conn
	}
	used, started := cpuTime(), time.Now()
	var wait sync.WaitGroup
	counts := make([]int, len(conns))
	failures := make([]error, len(conns))
	for i, conn := range conns {
		wait.Go(func() {
			for time.Since(started) < throughputTime {
				if failures[i] = readOnce(ctx, conn); failures[i] != nil {
					return
				}
				counts[i]++
			}
		})
	}
	wait.Wait()
	total := 0
	for i := range counts {
		if failures[i] != nil {
			return failures[i]
		}
		total += counts[i]
	}
	s.perSecond = float64(total) / time.Since(started).Seconds()
	s.cpuPerStatement = (cpuTime() - used) / time.Duration(max(total, 1))
	return nil
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func printLatency(out io.Writer, modes []mode, samples []sample) {
	direct := samples[0]
	for i, m := range modes {
		s := samples[i]
		_, _ = fmt.Fprintf(out, "mode=%s read_p50_us=%d read_p99_us=%d write_p50_us=%d write_p99_us=%d statements_per_s=%.0f statements_per_s_per_core=%.0f processor_us_per_statement=%.1f "+
			"read_p50_ratio=%.2f write_p50_ratio=%.2f per_core_ratio=%.2f\n",
			m.name, s.reads.ValueAtQuantile(50), s.reads.ValueAtQuantile(99), s.writes.ValueAtQuantile(50), s.writes.ValueAtQuantile(99),
			s.perSecond, perCore(s), float64(s.cpuPerStatement)/float64(time.Microsecond),
			medianRatio(s.reads, direct.reads), medianRatio(s.writes, direct.writes), perCore(s)/perCore(direct))
	}
}

// perCore returns the statements per second that one fully used core handles, callers and
// backend servers included.
func perCore(s sample) float64 {
	if s.cpuPerStatement == 0 {
		return 0
	}
	return float64(time.Second) / float64(s.cpuPerStatement)
}

func medianRatio(a, b *hdrhistogram.Histogram) float64 {
	return float64(a.ValueAtQuantile(50)) / float64(max(b.ValueAtQuantile(50), 1))
}
