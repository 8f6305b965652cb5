// Package platform_test runs proxies, in the process of the test, against stand-ins of the
// users' platform. It checks the answers that callers receive and the rules of the
// protocols that the backend servers and the platform verify.
package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/entry"
	"chicoryline/internal/standin/lineclient"
	"chicoryline/internal/standin/linegroup"
	"chicoryline/internal/standin/world"
	"chicoryline/platform"
)

const (
	// requestTimeout bounds one request of a caller; no assertion depends on it.
	requestTimeout = 10 * time.Second
	// settleTimeout bounds every wait for a condition; no assertion depends on how long
	// the wait took.
	settleTimeout = 30 * time.Second
)

// lastNetwork numbers the loopback networks, so that every fleet has its own.
var lastNetwork atomic.Int32

// fleet is a stand-in platform with its backend servers, and the proxies of all VMs.
type fleet struct {
	*world.World
	t      *testing.T
	stop   []context.CancelFunc
	done   []chan struct{}
	lastID atomic.Int64
	// storeRelays holds one relay per VM, between the VM and the platform's store.
	storeRelays []*relay
	// outstanding compares the statements of callers with those that servers run.
	outstanding *linegroup.Outstanding
}

type option func(*world.Options)

func start(t *testing.T, options ...option) *fleet {
	t.Helper()
	o := world.Options{
		Groups: 1, Domains: []string{"north", "south", "east"}, VMs: 3,
		Network: fmt.Sprintf("%d.%d", 1, lastNetwork.Add(1)), MaxConnections: 34,
		Lag: 20 * time.Millisecond, StatementTime: 2 * time.Millisecond, PromotionDelay: 100 * time.Millisecond,
		KeyRevocationDelay: 5 * time.Second, Outstanding: linegroup.NewOutstanding(),
		Customers: []world.Customer{
			{Name: "large", Keys: []string{"key-large"}, Rate: 500, Burst: 500},
			{Name: "small", Keys: []string{"key-small"}, Rate: 500, Burst: 500},
		},
	}
	for _, f := range options {
		f(&o)
	}
	w, err := world.New(o)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{World: w, t: t, outstanding: o.Outstanding}
	t.Cleanup(f.close)
	for vm := range o.VMs {
		f.startVM(vm)
	}
	for vm := range o.VMs {
		f.eventually("ready", func() bool { return f.isReady(vm) })
	}
	// The customers' token buckets start empty and fill at their rates.
	time.Sleep(1500 * time.Millisecond)
	return f
}

// vmName returns the name of a VM, which is also its name as a caller of the store.
func vmName(vm int) string { return fmt.Sprintf("vm%d", vm) }

// startVM starts the VM's proxy, which may have been stopped before. Its log goes to the
// file that CHICORYLINE_TEST_LOG names, if set.
func (f *fleet) startVM(vm int) {
	f.t.Helper()
	for len(f.storeRelays) <= vm {
		address, err := f.Store.AddressFor(vmName(len(f.storeRelays)))
		if err != nil {
			f.t.Fatal(err)
		}
		f.storeRelays = append(f.storeRelays, newRelay(f.t, address))
	}
	path, err := f.WriteSettings(f.t.TempDir(), vm, f.storeRelays[vm].address())
	if err != nil {
		f.t.Fatal(err)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	if path := os.Getenv("CHICORYLINE_TEST_LOG"); path != "" {
		out, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			f.t.Fatal(err)
		}
		log.SetOutput(out)
	} else {
		log.SetOutput(io.Discard)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p := entry.New(settings, platform.New(settings), logrus.NewEntry(log))
	go func() {
		defer close(done)
		if err := p.Run(ctx); err != nil {
			f.t.Errorf("vm %d: %v", vm, err)
		}
	}()
	for len(f.stop) <= vm {
		f.stop, f.done = append(f.stop, nil), append(f.done, nil)
	}
	f.stop[vm], f.done[vm] = cancel, done
}

// close stops all proxies and fails the test if the backend servers or the platform saw a
// broken rule.
func (f *fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	for _, done := range f.done {
		<-done
	}
	for _, g := range f.Groups {
		f.report("group "+g.Name(), g.Violations())
	}
	f.report("callers", f.outstanding.Violations())
	f.report("platform", f.Store.Violations())
	f.World.Close()
}

// maxShown bounds how many violations of one observer a failed test prints.
const maxShown = 8

// report fails the test if the observer saw violations.
func (f *fleet) report(observer string, violations []string) {
	for _, p := range violations[:min(maxShown, len(violations))] {
		f.t.Errorf("%s: %s", observer, p)
	}
	if more := len(violations) - maxShown; more > 0 {
		f.t.Errorf("%s: %d more violations", observer, more)
	}
}

func (f *fleet) isReady(vm int) bool {
	r, err := http.Get("http://" + f.ReadyAddress(vm) + "/v1/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (f *fleet) eventually(what string, check func() bool) {
	f.t.Helper()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if check() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for: %s", what)
}

func (f *fleet) newID() string { return fmt.Sprintf("id%06d", f.lastID.Add(1)) }

// caller is a session that ends the test on connection errors.
type caller struct {
	*lineclient.Client
	f *fleet
}

// open opens a session whose statements are compared with those that the servers run.
func (f *fleet) open(vm int, database, key string) (*lineclient.Client, error) {
	c, err := lineclient.Dial(f.FrontAddress(vm), database, key, requestTimeout)
	if err == nil {
		c.Observer = f.outstanding
	}
	return c, err
}

func (f *fleet) dial(vm int, database, key string) *caller {
	f.t.Helper()
	c, err := f.open(vm, database, key)
	if err != nil {
		f.t.Fatalf("session on %s: %v", database, err)
	}
	f.t.Cleanup(c.Close)
	return &caller{c, f}
}

// do sends a statement and returns its answer.
func (c *caller) do(text string) lineclient.Answer {
	c.f.t.Helper()
	a, err := c.Query(c.f.newID(), text)
	if err != nil {
		c.f.t.Fatalf("%s: %v", text, err)
	}
	return a
}

// must sends a statement and fails the test unless it succeeds.
func (c *caller) must(text string) lineclient.Answer {
	c.f.t.Helper()
	a := c.do(text)
	if a.Code != "" {
		c.f.t.Fatalf("%s: %s %s", text, a.Code, a.Text)
	}
	return a
}

// expect sends a statement and checks the code and the transaction state of its answer.
func (c *caller) expect(text, code, state string) lineclient.Answer {
	c.f.t.Helper()
	a := c.do(text)
	if a.Code != code || a.State != state {
		c.f.t.Fatalf("%s: code %q state %q, want %q %q (%s)", text, a.Code, a.State, code, state, a.Text)
	}
	return a
}

// primary returns the primary of the first group, nil without one.
func (f *fleet) primary() *linegroup.Server { return f.Groups[0].Primary() }
