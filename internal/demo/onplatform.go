package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/entry"
	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/linetext"
	"chicoryline/internal/standin/world"
	"chicoryline/platform"
)

const (
	// platformVMs and platformCallers are the size of the demo: two VMs in each of three
	// failure domains, with the callers spread over all of them.
	platformVMs, platformCallers = 6, 24
	// platformNetwork is the second and third octet of the VMs' loopback addresses.
	platformNetwork = "77.1"
	// platformExchangeTimeout is the deadline for one request and its answer.
	platformExchangeTimeout = 5 * time.Second
	// platformSettleTime is the pause between the start of the processes and the load. It lets
	// the processes discover each other and the customers' token buckets fill.
	platformSettleTime = 3 * time.Second
	// refusedPause is the pause of a caller after a refused request.
	refusedPause = 50 * time.Millisecond
	// platformOddPercent is the share of the odd texts among those of the callers.
	platformOddPercent = 25
)

// PlatformFigures counts what callers observed in the demo on the platform's protocols.
type PlatformFigures struct {
	Requests, Served int
	Refused          map[string]int // by error code
	// Stale counts reads that missed the session's own write, Lost acknowledged writes that
	// no server holds, Doubled writes that took effect more than once, Mixed answers that do
	// not belong to their statement, Unasked runs of statements that no caller waited for,
	// Malformed valid statements that were refused as malformed.
	Stale, Lost, Doubled, Mixed, Unasked, Malformed int
	// Violations describes some of the mixed answers and unasked runs.
	Violations []string
}

// maxShownViolations bounds PlatformFigures.Violations for callers and for each group.
const maxShownViolations = 4

// ViolationCount returns the number of guarantee violations.
func (f *PlatformFigures) ViolationCount() int {
	return f.Stale + f.Lost + f.Doubled + f.Mixed + f.Unasked + f.Malformed
}

// show adds some of the violations to those that are shown.
func (f *PlatformFigures) show(violations []string) {
	f.Violations = append(f.Violations, violations[:min(len(violations), maxShownViolations)]...)
}

// platformRun is a running demo. The mutex guards figures and acknowledged.
type platformRun struct {
	world       *world.World
	outstanding *linegroup.Outstanding

	mu           sync.Mutex
	figures      PlatformFigures
	acknowledged map[string]bool // ids of acknowledged writes
	seed         uint64
}

// RunOnPlatform runs VM processes against test doubles of the users' platform, all inside
// this OS process, with a load, a crash of a primary and the withdrawal of a key. The callers send
// any bytes that the protocol allows; the seed determines them.
func RunOnPlatform(ctx context.Context, duration time.Duration, seed uint64, out io.Writer, log *logrus.Entry) (*PlatformFigures, error) {
	outstanding := linegroup.NewOutstanding()
	w, err := world.New(world.Options{
		Groups: 2, Domains: []string{"north", "south", "east"}, VMs: platformVMs, Network: platformNetwork,
		MaxConnections: 34, Lag: 20 * time.Millisecond, StatementTime: 3 * time.Millisecond, PromotionDelay: 300 * time.Millisecond,
		KeyRevocationDelay: 5 * time.Second, Outstanding: outstanding,
		Customers: []world.Customer{
			{Name: "large", Keys: []string{"key-large"}, Rate: 2000, Burst: 2000},
			{Name: "small", Keys: []string{"key-small"}, Rate: 1000, Burst: 1000},
		},
	})
	if err != nil {
		return nil, err
	}
	defer w.Close()
	stop, err := startOnPlatform(w, log)
	if err != nil {
		return nil, err
	}
	defer stop()
	fmt.Fprintf(out, "platform=true failure_domains=3 vms=%d groups=2 backend_servers=6 customers=2\n", platformVMs)
	time.Sleep(platformSettleTime)
	r := &platformRun{world: w, outstanding: outstanding, acknowledged: map[string]bool{}, seed: seed, figures: PlatformFigures{Refused: map[string]int{}}}
	load, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range platformCallers {
		callers.Go(func() { r.runCaller(load, i) })
	}
	r.injectFaults(load, duration, out)
	callers.Wait()
	r.checkWrites()
	return &r.figures, nil
}

// startOnPlatform starts the VM processes and returns a function that stops them.
func startOnPlatform(w *world.World, log *logrus.Entry) (func(), error) {
	folder, err := os.MkdirTemp("", "chicoryline-demo")
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var processes sync.WaitGroup
	stop := func() {
		cancel()
		processes.Wait()
		if err := os.RemoveAll(folder); err != nil {
			log.WithError(err).Warn("failed to remove settings files")
		}
	}
	for vm := range platformVMs {
		path, err := w.WriteSettings(folder, vm, w.Store.Address())
		if err != nil {
			stop()
			return nil, errors.Trace(err)
		}
		settings, err := platform.LoadSettings(path)
		if err != nil {
			stop()
			return nil, errors.Trace(err)
		}
		processes.Go(func() {
			if err := entry.New(settings, platform.New(settings), log).Run(ctx); err != nil {
				log.WithError(err).Error("process ended")
			}
		})
	}
	return stop, nil
}

// injectFaults crashes a primary and withdraws a key while the load runs.
func (r *platformRun) injectFaults(ctx context.Context, duration time.Duration, out io.Writer) {
	pause := func() bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(duration / 3):
			return true
		}
	}
	if pause() {
		primary := r.world.Groups[0].Primary()
		primary.Crash()
		r.world.PublishEntry(primary)
		fmt.Fprintf(out, "fault=primary_crashed group=%s backend_server=%s\n", r.world.Groups[0].Name(), primary.ID)
	}
	if pause() {
		r.world.ChangeConfig(func(_ *[]world.Route, customers *[]world.Customer) { (*customers)[1].Keys = nil })
		fmt.Fprintln(out, "fault=key_withdrawn customer=small")
	}
}

// runCaller writes and reads as one caller until the load ends, and reconnects when its
// session ends.
func (r *platformRun) runCaller(ctx context.Context, i int) {
	database, key := fmt.Sprintf("own-%d", i%2), "key-large"
	if i%4 == 0 {
		key = "key-small"
	}
	texts := linetext.New(r.seed, uint64(i), linetext.Mix{OddPercent: platformOddPercent})
	for n, sessions := 0, 0; ctx.Err() == nil; sessions++ {
		c, err := lineclient.Dial(r.world.FrontAddress(i%platformVMs), database, key, platformExchangeTimeout)
		if err != nil {
			r.countResult("", "connection")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.Observer = r.outstanding
		p := &platformCaller{run: r, session: c, texts: texts, number: i}
		for open := p.setUp(sessions); open && ctx.Err() == nil; n++ {
			open = p.writeAndRead(n)
		}
		c.Close()
	}
}

// platformCaller is one session of a caller.
type platformCaller struct {
	run     *platformRun
	session *lineclient.Client
	texts   *linetext.Source
	number  int
	// writeName and readName are the session's prepared statements.
	writeName, readName string
}

// query sends a statement and counts its result. write is the id of the write that a success
// acknowledges, or empty. It returns false if the connection has failed.
func (p *platformCaller) query(id, text, write string) (lineclient.Answer, bool) {
	a, err := p.session.Query(id, text)
	if err != nil {
		p.run.countResult("", "connection")
		return a, false
	}
	p.run.countResult(write, a.Code)
	// The end of a transaction may come after that of a lost one.
	if a.Code == "MALFORMED" && text != "COMMIT" {
		p.run.countMalformed(id, text)
	}
	return a, true
}

// setUp sets a value and prepares the statements of the caller's nth session. It returns false if
// the session has to end.
func (p *platformCaller) setUp(n int) bool {
	p.writeName, p.readName = p.texts.Inner("w"), p.texts.Inner("r")
	for i, text := range []string{
		"SET " + p.texts.Inner("color") + " " + p.texts.Kept(n),
		"PARSE " + p.writeName + " WRITE " + p.texts.Kept(n), "PARSE " + p.readName + " READ " + p.texts.Kept(n),
	} {
		if a, ok := p.query(fmt.Sprintf("s%d-%d-%d", p.number, n, i), text, ""); !ok || a.Code != "" {
			time.Sleep(refusedPause)
			return false
		}
	}
	return true
}

// writeAndRead writes an item and reads it back. It returns false if the session has to end.
func (p *platformCaller) writeAndRead(n int) bool {
	id := fmt.Sprintf("w%d-%d", p.number, n)
	item, data := p.texts.Inner(fmt.Sprintf("item%d", p.number)), p.texts.Last(n)
	write, read := "WRITE "+item+" "+data, "READ "+item
	if n%2 == 0 {
		write, read = "EXECUTE "+p.writeName+" "+item+" "+data, "EXECUTE "+p.readName+" "+item
	}
	a, ok := p.write(id, write, n%5 == 0)
	if !ok {
		return false
	}
	if a.Code != "" {
		time.Sleep(refusedPause)
		return a.State == "I"
	}
	a, ok = p.query("r"+id, read, "")
	// A read without rows counts as mixed.
	if ok && a.Code == "" && len(a.Rows) == 1 && a.Rows[0] != data {
		p.run.mu.Lock()
		p.run.figures.Stale++
		p.run.mu.Unlock()
	}
	return ok && a.State == "I"
}

// write runs a write, on its own or in a transaction, and returns the answer that determines its
// outcome.
func (p *platformCaller) write(id, text string, inTransaction bool) (lineclient.Answer, bool) {
	if !inTransaction {
		return p.query(id, text, id)
	}
	a, ok := p.query("b"+id, "BEGIN", "")
	if !ok || a.Code != "" {
		return a, ok
	}
	if a, ok = p.query(id, text, ""); !ok || a.Code != "" {
		return a, ok
	}
	return p.query("c"+id, "COMMIT", id)
}

// countResult counts a request by its error code; id is the id of a write and empty for
// other requests.
func (r *platformRun) countResult(id, code string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.Requests++
	if code != "" {
		r.figures.Refused[code]++
		return
	}
	r.figures.Served++
	if id != "" {
		r.acknowledged[id] = true
	}
}

// countMalformed counts a valid statement that was refused as malformed.
func (r *platformRun) countMalformed(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures.Malformed++
	if r.figures.Malformed <= maxShownViolations {
		r.figures.Violations = append(r.figures.Violations, fmt.Sprintf("refused-as-malformed: %s %.80q", id, text))
	}
}

// checkWrites compares the acknowledged writes with those that the servers hold, and collects
// the violations that were seen meanwhile.
func (r *platformRun) checkWrites() {
	mixed := r.outstanding.Violations()
	r.figures.Mixed, r.figures.Unasked = len(mixed), r.outstanding.Unasked()
	r.figures.show(mixed)
	committed := map[string]int{}
	for _, g := range r.world.Groups {
		r.figures.show(g.Violations())
		for _, w := range g.Committed() {
			committed[w.ID]++
		}
	}
	for _, n := range committed {
		if n > 1 {
			r.figures.Doubled++
		}
	}
	for id := range r.acknowledged {
		if committed[id] == 0 {
			r.figures.Lost++
		}
	}
}
