package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/linetext"
	"chicoryline/internal/standin/world"
	"chicoryline/platform"
)

const (
	customers = 4
	groups    = 2
	// readyTimeout bounds the start of all processes. recoveryTimeout bounds the recovery
	// after the last fault; the platform allows 12 s.
	readyTimeout    = 20 * time.Second
	recoveryTimeout = 12 * time.Second
	// maxShownPerKind bounds how many problems of one kind a report prints. The first word
	// of a problem is its kind.
	maxShownPerKind = 4
	// probePrefix begins the ids of writes that only check whether a group accepts writes.
	probePrefix = "probe"
	// stopTimeout is the time between SIGTERM and SIGKILL for a process.
	stopTimeout = 6 * time.Second
)

// run is the state of the run with one seed.
type run struct {
	options      options
	seed         uint64
	rand         *rand.Rand
	world        *world.World
	outstanding  *linegroup.Outstanding
	ledger       *ledger
	callers      int
	folder       string
	storeProxies []*proxy // proxy in front of the store, by VM
	vms          []*process
	started      time.Time
	wg           sync.WaitGroup // delayed actions and series that are still running
	// lifecycle is held while a backend server is stopped or started.
	lifecycle sync.Mutex

	// mu guards the fields below it.
	mu            sync.Mutex
	serverProxies map[string]*proxy
	departed      map[*linegroup.Server]bool
	events        []string
}

// recordEvent adds a line with the time since the start to the events of the report.
func (r *run) recordEvent(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%.3f s %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...)))
}

// report is the result of a run.
type report struct {
	seed                   uint64
	acked, rejected, reads int
	events                 []string
	problems               []string
}

func (r report) String() string {
	text := fmt.Sprintf("seed=%d acknowledged=%d denied=%d reads=%d faults=%d problems=%d", r.seed, r.acked, r.rejected, r.reads, len(r.events), len(r.problems))
	if len(r.problems) > 0 {
		text += "\n" + r.faults()
		count := map[string]int{}
		for _, p := range r.problems {
			kind, _, _ := strings.Cut(p, " ")
			kind = strings.TrimSuffix(kind, ":")
			if count[kind]++; count[kind] <= maxShownPerKind {
				text += "\n  " + p
			}
		}
		text += fmt.Sprintf("\n  problems by kind: %v", count)
	}
	return text
}

func (r report) faults() string { return "  faults:\n    " + strings.Join(r.events, "\n    ") }

// process is one process of the program under test. Signals go only to processes started
// here.
type process struct {
	run  *run
	vm   int
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// stopRequested is set once the process is signaled to stop; an exit before is a problem.
	stopRequested bool
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, err := p.run.world.WriteSettings(p.run.folder, p.vm, p.run.storeProxies[p.vm].address())
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.run.folder, fmt.Sprintf("vm%d.log", p.vm)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.run.options.Program, "entry")
	cmd.Env = append(os.Environ(), platform.SettingsPathEnv+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	// The process is killed with its parent, also if the parent is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		ending := p.stopRequested
		p.mu.Unlock()
		if !ending {
			p.run.ledger.addProblem("vm %d exited unexpectedly: %v", p.vm, err)
		}
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the process has already exited.
	_ = p.cmd.Process.Signal(s)
}

// stop sends the signal, and SIGKILL if the process has not exited after stopTimeout.
func (p *process) stop(s syscall.Signal) {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

func runSoak(o options, seed uint64) (report, error) {
	mix := linetext.Mix{WithoutLineFeeds: o.OddNoLF}
	if o.OddBytes || o.OddNoLF {
		mix.OddPercent = oddPercent
	}
	r := &run{
		options: o, seed: seed, rand: rand.New(rand.NewPCG(seed, seed)), ledger: newLedger(seed, mix),
		outstanding: linegroup.NewOutstanding(), callers: o.Callers, serverProxies: map[string]*proxy{}, departed: map[*linegroup.Server]bool{},
	}
	folder, err := os.MkdirTemp(o.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return report{}, err
	}
	r.folder = folder
	if err := r.open(); err != nil {
		return report{}, err
	}
	defer r.world.Close()
	var stop atomic.Bool
	var ids atomic.Int64
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := r.newCaller(i, &ids)
		callers.Go(func() { c.loop(&stop) })
	}
	r.started = time.Now()
	end := r.started.Add(o.Length)
	watch := r.watch()
	if o.Restores {
		r.wg.Go(func() { r.restores(end) })
	}
	if o.Evacuate {
		r.wg.Go(func() { r.evacuations(end) })
	}
	if o.Depart {
		r.wg.Go(r.departures)
	}
	if o.Series {
		for i := range groups * burstWritersPerGroup {
			c := r.newCaller(o.Callers+i, &ids)
			callers.Go(func() { c.burst(&stop) })
		}
		r.series(end)
	} else {
		for time.Now().Before(end) {
			time.Sleep(time.Duration(200+r.rand.IntN(900)) * time.Millisecond)
			r.injectFault()
		}
	}
	r.wg.Wait()
	watch.stopPausing()
	r.heal()
	r.awaitService()
	stop.Store(true)
	callers.Wait()
	watch.end()
	for _, p := range r.vms {
		p.stop(syscall.SIGTERM)
	}
	result := r.verify()
	if len(result.problems) == 0 || o.Logs == "" {
		err = os.RemoveAll(folder)
	}
	return result, err
}

// open starts the stand-ins and the processes, and waits until all VMs accept writes.
func (r *run) open() error {
	o := world.Options{
		Groups: groups, Domains: []string{"north", "south", "east"}, VMs: r.options.VMs, MaxConnections: 34,
		// Concurrent runs need different loopback networks.
		Network: fmt.Sprintf("%d.%d", 2+os.Getpid()%200, r.seed%250), Lag: 30 * time.Millisecond, StatementTime: 2 * time.Millisecond,
		PromotionDelay: 300 * time.Millisecond, KeyRevocationDelay: 5 * time.Second, ServerAddress: r.serverAddress,
		FormerPrimaryServes: r.options.Replaced, Outstanding: r.outstanding,
	}
	if r.options.Evacuate {
		o.EvacuateTime = evacuateTime
	}
	for i := range customers {
		o.Customers = append(o.Customers, world.Customer{Name: fmt.Sprint("customer", i), Keys: []string{fmt.Sprint("key-", i)}, Rate: 2000, Burst: 2000})
	}
	standins, err := world.New(o)
	if err != nil {
		return err
	}
	r.world = standins
	for _, g := range standins.Groups {
		for _, s := range g.Servers() {
			r.repeatAnswers(s)
		}
	}
	for vm := range r.options.VMs {
		p, err := newProxy(standins.Store.Address())
		if err != nil {
			return err
		}
		r.storeProxies = append(r.storeProxies, p)
		r.vms = append(r.vms, &process{run: r, vm: vm})
		if err := r.vms[vm].start(); err != nil {
			return err
		}
	}
	return r.awaitWrites(readyTimeout)
}

// serverAddress returns the address of the proxy in front of a backend server.
func (r *run) serverAddress(s *linegroup.Server) string { return r.serverProxy(s).address() }

// serverProxy returns the proxy in front of a backend server and starts it if necessary.
func (r *run) serverProxy(s *linegroup.Server) *proxy {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.serverProxies[s.ID]
	if p == nil {
		var err error
		if p, err = newProxy(s.Address); err != nil {
			panic(err) // no free port on loopback
		}
		r.serverProxies[s.ID] = p
	}
	return p
}

// awaitWrites waits until every VM accepts a write to every group.
func (r *run) awaitWrites(limit time.Duration) error {
	end := time.Now().Add(limit)
	for vm := range r.options.VMs {
		for g := range groups {
			for !r.acceptsWrite(vm, g) {
				if time.Now().After(end) {
					return fmt.Errorf("vm %d accepts no write to group %d after %v", vm, g, limit)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// dial opens a session whose statements are compared with those that the servers run.
func (r *run) dial(vm int, database string, caller int, timeout time.Duration) (*lineclient.Client, error) {
	c, err := lineclient.Dial(r.world.FrontAddress(vm), database, fmt.Sprint("key-", caller%customers), timeout)
	if err == nil {
		c.Observer = r.outstanding
	}
	return c, err
}

func (r *run) acceptsWrite(vm, group int) bool {
	c, err := r.dial(vm, fmt.Sprintf("own-%d", group), 0, exchangeTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(fmt.Sprint(probePrefix, time.Now().UnixNano()), "WRITE probe 1")
	return err == nil && a.Code == ""
}

// awaitService waits for the recovery after the last fault.
func (r *run) awaitService() {
	if err := r.awaitWrites(recoveryTimeout); err != nil {
		r.ledger.addProblem("no recovery: %v", err)
	}
}

// verify compares the answers to callers with the commits on the backend servers and returns
// the report.
func (r *run) verify() report {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	result := report{seed: r.seed, acked: len(l.acked), rejected: len(l.rejected), reads: l.reads, events: r.events, problems: l.problems}
	count := map[string]int{}
	// A VM withholds the acknowledgement of a primary that is being replaced. The answers to probes
	// are not in the ledger.
	isReported := func(write string) bool { return l.acked[write] || strings.HasPrefix(write, probePrefix) }
	for _, g := range r.world.Groups {
		result.problems = append(result.problems, g.ReportedViolations(isReported)...)
		for _, w := range g.Committed() {
			count[w.ID]++
		}
	}
	result.problems = append(result.problems, r.outstanding.Violations()...)
	result.problems = append(result.problems, r.world.Store.Violations()...)
	for id := range l.acked {
		if count[id] == 0 {
			result.problems = append(result.problems, "acknowledged write "+id+" is lost")
		}
	}
	for id, n := range count {
		if n > 1 {
			result.problems = append(result.problems, fmt.Sprintf("write %s was committed %d times", id, n))
		}
		if l.rejected[id] {
			result.problems = append(result.problems, "write "+id+" was committed although its answer guarantees that it was not")
		}
	}
	return result
}
