package configsync

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chicoryline/internal/catalog"
	"chicoryline/internal/errkind"
	"chicoryline/internal/frame"
	"chicoryline/internal/services"
)

// cluster is a fleet on one fake platform in virtual time, with fault switches on
// every link. A link's delays follow from the seed, the link and the number of
// the call on it.
type cluster struct {
	t               *testing.T
	seed            uint64
	system          *frame.System
	store           *fakePlatform
	base            time.Time
	expiredOverride func(*Node) bool // replaces the check of expiry in the monitor
	checkFrozen     bool             // the monitor looks at frozen members too

	mu         sync.Mutex
	members    []*member
	route      map[string]*member // by address
	partitions map[[2]string]bool // directed, of names of members, domains or "platform"
	calls      map[string]uint64
	slow       time.Duration // added to each platform call
	late       map[string]time.Duration
	inForce    map[string]bool   // objects that ever were in force
	decoded    map[uint64]Record // of the monitor, by row version
	failures   []string
	ref        catalog.KeyRef // the customer's key
	withdrawn  bool           // its withdrawal was reported in force
	inFlight   sync.WaitGroup // calls, some of which nobody waits for any more
	operators  sync.WaitGroup // background work that has to end before the bubble
}

// member is one process. Its clock runs at its own rate.
type member struct {
	cluster   *cluster
	id        string
	domain    string
	address   string
	clockRate float64
	node      *Node

	mu      sync.Mutex
	onState func(grant, patch string)
	frozen  chan struct{} // closed at the thaw
	dead    bool
	version uint64 // newest version served
}

const platformName = "platform"

var incarnations struct {
	sync.Mutex
	last uint64
}

// incarnation is new in the whole test process: actor names are unique in it.
func incarnation() uint64 {
	incarnations.Lock()
	defer incarnations.Unlock()
	incarnations.last++
	return incarnations.last
}

// runCluster runs a scenario and returns the failures that the monitor saw.
func runCluster(t *testing.T, seed uint64, holders int, scenario func(c *cluster)) []string {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	c := &cluster{
		t: t, seed: seed, system: frame.New(logrus.NewEntry(log)), store: newFakePlatform(),
		route: map[string]*member{}, partitions: map[[2]string]bool{}, calls: map[string]uint64{},
		late: map[string]time.Duration{}, inForce: map[string]bool{"": true},
		decoded: map[uint64]Record{},
	}
	synctest.Test(t, func(*testing.T) {
		c.base = time.Now()
		for i := range holders {
			c.add(fmt.Sprintf("vm%d", i), fmt.Sprintf("d%d", i%3), false)
		}
		stop := make(chan struct{})
		var watching sync.WaitGroup
		watching.Add(1)
		go func() {
			defer watching.Done()
			c.monitor(stop)
		}()
		scenario(c)
		c.heal()
		c.operators.Wait()
		close(stop)
		watching.Wait()
		for _, m := range c.members {
			m.thaw()
			m.node.Close()
		}
		c.inFlight.Wait()
	})
	return c.failures
}

func (c *cluster) add(id, domain string, observer bool) *member {
	m := &member{cluster: c, id: id, domain: domain, address: id + ":1"}
	m.clockRate = 1 + float64(int(c.draw("rate "+id)%101)-50)/1000 // within 5 percent
	m.node = New(Config{
		VM:          services.VM{ID: id, Domain: domain, Address: m.address},
		Incarnation: incarnation(), Services: &endpoint{cluster: c, name: id, domain: domain, member: m},
		Caller: &endpoint{cluster: c, name: id, domain: domain, member: m}, System: c.system, Now: m.now, Observer: observer,
		OnEvent: func(_ string, f map[string]string) {
			m.mu.Lock()
			told := m.onState
			m.mu.Unlock()
			if told != nil {
				told(f["grant"], f["patch_state"])
			}
		},
	})
	c.mu.Lock()
	c.members = append(c.members, m)
	c.route[m.address] = m
	c.mu.Unlock()
	c.store.set(func() { c.store.vms = append(c.store.vms, m.node.cfg.VM) })
	if err := m.node.Start(); err != nil {
		c.fail("start: %v", err)
	}
	return m
}

func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) < 5 {
		c.failures = append(c.failures, fmt.Sprintf(format, args...))
	}
}

// draw returns the next number of a stream.
func (c *cluster) draw(stream string) uint64 {
	c.mu.Lock()
	c.calls[stream]++
	n := c.calls[stream]
	c.mu.Unlock()
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %d", c.seed, stream, n)
	x := h.Sum64()
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9 >> 7
}

// setOnState sets what is told of each change of the charts' states.
func (m *member) setOnState(f func(grant, patch string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onState = f
}

// setCheckFrozen makes the monitor look at frozen members too, or not.
func (c *cluster) setCheckFrozen(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkFrozen = on
}

// overrideExpired replaces the check of expiry.
func (c *cluster) overrideExpired(expired func(*Node) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiredOverride = expired
}

// now is the member's clock; it stands still for the caller while frozen.
func (m *member) now() time.Time {
	m.waitWhileFrozen()
	return m.clock()
}

func (m *member) clock() time.Time {
	return m.cluster.base.Add(time.Duration(float64(time.Since(m.cluster.base)) * m.clockRate))
}

// waitWhileFrozen returns when the member is not frozen.
func (m *member) waitWhileFrozen() {
	m.mu.Lock()
	gate := m.frozen
	m.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func (m *member) freeze() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frozen == nil && !m.dead {
		m.frozen = make(chan struct{})
	}
}

func (m *member) thaw() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frozen != nil {
		close(m.frozen)
		m.frozen = nil
	}
}

// kill ends the member; nothing that it sends or gets counts any more.
func (m *member) kill() {
	m.mu.Lock()
	m.dead = true
	m.mu.Unlock()
	m.thaw()
	m.cluster.operators.Add(1)
	go func() {
		defer m.cluster.operators.Done()
		m.node.Close()
	}()
}

func (m *member) state() (dead, frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead, m.frozen != nil
}

func (c *cluster) partition(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{from, to}] = true
}

// isPartitioned reports whether bytes from one place to another are lost. A domain's
// cut holds for what crosses its border.
func (c *cluster) isPartitioned(from, fromDomain, to, toDomain string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pair := range [][2]string{{from, to}, {from, "*"}, {"*", to}} {
		if c.partitions[pair] {
			return true
		}
	}
	return fromDomain != toDomain && (c.partitions[[2]string{fromDomain, "*"}] || c.partitions[[2]string{"*", toDomain}])
}

func (c *cluster) heal() {
	c.mu.Lock()
	c.partitions = map[[2]string]bool{}
	c.slow = 0
	c.late = map[string]time.Duration{}
	members := c.members
	c.mu.Unlock()
	c.store.set(func() {
		c.store.down, c.store.answersToLose, c.store.vms = false, 0, nil
		for _, m := range members {
			c.store.vms = append(c.store.vms, m.node.cfg.VM)
		}
	})
	for _, m := range members {
		m.thaw()
	}
}

// submit runs one operator's command and checks its answer against the row.
func (c *cluster) submit(base uint64, patch, id string, limit time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	services := &endpoint{cluster: c, name: "operator " + id}
	r, _ := Submit(ctx, services, base, []byte(patch), id)
	c.store.mu.Lock()
	record, err := decodeRecord(c.store.rows[recordKey])
	c.store.mu.Unlock()
	o, recorded := record.outcome(id)
	switch {
	case err != nil:
		c.fail("record: %v", err)
	case r.State == StateInForce && o.State != StateInForce:
		c.fail("patch %s was reported in force, recorded %q", id, o.State)
	case r.State == StateRefused && recorded && o.State == StateInForce:
		c.fail("patch %s was reported refused and is in force", id)
	}
	return r
}

// monitor looks at all members every few milliseconds.
func (c *cluster) monitor(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
			c.checkMembers()
		}
	}
}

// checkMembers checks that every member that serves at all serves no more than the
// version in force allows, nothing that was never in force, and never an older
// version than before.
func (c *cluster) checkMembers() {
	c.store.mu.Lock()
	row := c.store.rows[recordKey]
	c.store.mu.Unlock()
	record := c.decode(row)
	c.inForce[record.Object] = true
	c.mu.Lock()
	members, withdrawn, paused := c.members, c.withdrawn, c.checkFrozen
	c.mu.Unlock()
	for _, m := range members {
		if dead, frozen := m.state(); dead || (frozen && !paused) {
			continue
		}
		c.checkMember(m, record)
		if withdrawn && c.acceptsKey(m) {
			c.fail("%s accepts a key whose withdrawal was reported in force", m.id)
		}
	}
}

// view is what Node.View returns now, or at the thaw of a frozen member before
// anything else runs there.
func (m *member) view() catalog.View {
	v := m.node.viewAt(m.clock())
	m.cluster.mu.Lock()
	naive := m.cluster.expiredOverride
	m.cluster.mu.Unlock()
	if naive != nil {
		v.Expired = naive(m.node)
	}
	return v
}

// decode reads a configuration row for the monitor, each version once.
func (c *cluster) decode(row services.Row) Record {
	if r, ok := c.decoded[row.Version]; ok {
		return r
	}
	r, err := decodeRecord(row)
	if err != nil {
		c.fail("record: %v", err)
	}
	c.decoded[row.Version] = r
	return r
}

// acceptsKey reports whether the member lets the customer in on a closed route.
func (c *cluster) acceptsKey(m *member) bool {
	_, _, err := m.view().AuthorizeKey("depot", c.ref, "racks")
	return err == nil
}

func (c *cluster) checkMember(m *member, record Record) {
	if m.view().Expired {
		return
	}
	s := m.node.published.Load()
	known := c.decode(s.row)
	joint := known.Pending != nil && known.Pending.Object == record.Object
	if known.Object != record.Object && !joint && known.Version <= record.Version {
		c.fail("%s serves version %d (grant %s) while version %d is in force", m.id, known.Version, s.state, record.Version)
	}
	if !c.inForce[known.Object] && known.Version <= record.Version {
		c.fail("%s serves version %d, which was never in force", m.id, known.Version)
	}
	if known.Version < m.version {
		c.fail("%s went back from version %d to %d", m.id, m.version, known.Version)
	}
	m.version = known.Version
}

// waitUntil waits for a condition for at most a stretch of virtual time.
func (c *cluster) waitUntil(limit time.Duration, ok func() bool) bool {
	for range int(limit / (5 * time.Millisecond)) {
		if ok() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ok()
}

// allServing reports whether all members that live and did not leave serve.
func (c *cluster) allServing() bool {
	c.mu.Lock()
	members := c.members
	c.mu.Unlock()
	for _, m := range members {
		dead, frozen := m.state()
		s := m.node.published.Load()
		if !dead && s.state != "returned" && (frozen || m.node.View().Expired) {
			return false
		}
	}
	return true
}

// endpoint is one process's or operator's way to the platform and to its peers.
type endpoint struct {
	cluster *cluster
	name    string
	domain  string
	member  *member
}

// transmit takes the delay of one direction and reports whether the bytes arrive.
func (p *endpoint) transmit(from, fromDomain, to, toDomain string, extra time.Duration) bool {
	d := 200*time.Microsecond + time.Duration(p.cluster.draw(from+">"+to)%uint64(3*time.Millisecond))
	p.cluster.mu.Lock()
	d += extra + p.cluster.late[to]
	p.cluster.mu.Unlock()
	time.Sleep(d)
	return !p.cluster.isPartitioned(from, fromDomain, to, toDomain)
}

func (p *endpoint) checkAlive() error {
	if p.member == nil {
		return nil
	}
	p.member.waitWhileFrozen()
	if dead, _ := p.member.state(); dead {
		return errkind.New(errkind.PlatformUnknown, "process ended")
	}
	return nil
}

// callResult is what comes back of one call.
type callResult[T any] struct {
	value T
	err   error
}

// callWithContext runs one call and returns its answer, or lost when the context ends
// first. The call itself goes on.
func callWithContext[T any](ctx context.Context, p *endpoint, lost errkind.Kind, call func() (T, error)) (T, error) {
	var zero T
	if err := p.checkAlive(); err != nil {
		return zero, err
	}
	answers := make(chan callResult[T], 1)
	p.cluster.inFlight.Add(1)
	go func() {
		defer p.cluster.inFlight.Done()
		value, err := call()
		answers <- callResult[T]{value, err}
	}()
	select {
	case a := <-answers:
		if err := p.checkAlive(); err != nil {
			return zero, err
		}
		return a.value, a.err
	case <-ctx.Done():
		if err := p.checkAlive(); err != nil {
			return zero, err
		}
		return zero, errkind.New(lost, "no answer in time")
	}
}

// callPlatform carries one call to the platform and its answer back.
func callPlatform[T any](ctx context.Context, p *endpoint, call func(f *fakePlatform) (T, error)) (T, error) {
	return callWithContext(ctx, p, errkind.PlatformUnknown, func() (T, error) {
		var zero T
		p.cluster.mu.Lock()
		slow := p.cluster.slow
		p.cluster.mu.Unlock()
		if !p.transmit(p.name, p.domain, platformName, platformName, slow) {
			return zero, errkind.New(errkind.PlatformUnavailable, "cut")
		}
		value, err := call(p.cluster.store)
		if !p.transmit(platformName, platformName, p.name, p.domain, slow) {
			return zero, errkind.New(errkind.PlatformUnknown, "answer cut")
		}
		return value, err
	})
}

func (p *endpoint) Get(ctx context.Context, key string) (services.Row, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) (services.Row, error) { return f.Get(ctx, key) })
}

func (p *endpoint) List(ctx context.Context, prefix string) ([]services.Row, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) ([]services.Row, error) { return f.List(ctx, prefix) })
}

func (p *endpoint) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, id string) (services.Row, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) (services.Row, error) {
		return f.CompareAndSet(ctx, key, version, value, id)
	})
}

func (p *endpoint) Delete(ctx context.Context, key string, version uint64, id string) error {
	_, err := callPlatform(ctx, p, func(f *fakePlatform) (bool, error) { return true, f.Delete(ctx, key, version, id) })
	return err
}

func (p *endpoint) PutObject(ctx context.Context, data []byte) (string, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) (string, error) { return f.PutObject(ctx, data) })
}

func (p *endpoint) Object(ctx context.Context, name string) ([]byte, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) ([]byte, error) { return f.Object(ctx, name) })
}

func (p *endpoint) VMs(ctx context.Context) ([]services.VM, error) {
	return callPlatform(ctx, p, func(f *fakePlatform) ([]services.VM, error) { return f.VMs(ctx) })
}

func (p *endpoint) Groups(context.Context) ([]services.Group, error) { return nil, nil }
func (p *endpoint) Register(context.Context, services.VM) error      { return nil }

// Call carries one call to another process and its answer back.
func (p *endpoint) Call(ctx context.Context, address, method string, args, reply any) error {
	p.cluster.mu.Lock()
	to := p.cluster.route[address]
	p.cluster.mu.Unlock()
	if to == nil {
		return errkind.New(errkind.Unreachable, "%s", address)
	}
	switch r := reply.(type) {
	case *PromiseReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *PromiseReply) error {
			if method == "Config.Lease" {
				return s.Lease(args.(LeaseRequest), r)
			}
			return s.Promise(args.(PromiseRequest), r)
		})
	case *DocumentReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *DocumentReply) error { return s.Document(args.(DocumentRequest), r) })
	case *NotifyReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *NotifyReply) error { return s.Notify(args.(NotifyRequest), r) })
	}
	return errkind.New(errkind.Internal, "method %s", method)
}

func callPeer[T any](ctx context.Context, p *endpoint, to *member, reply *T, call func(*Service, *T) error) error {
	value, err := callWithContext(ctx, p, errkind.OutcomeUnknown, func() (T, error) {
		var value T
		if !p.transmit(p.name, p.domain, to.id, to.domain, 0) {
			return value, errkind.New(errkind.Unreachable, "%s", to.address)
		}
		to.waitWhileFrozen()
		if dead, _ := to.state(); dead {
			return value, errkind.New(errkind.Unreachable, "%s", to.address)
		}
		err := call(to.node.Service(), &value)
		if !p.transmit(to.id, to.domain, p.name, p.domain, 0) {
			return value, errkind.New(errkind.OutcomeUnknown, "%s", to.address)
		}
		return value, err
	})
	*reply = value
	return err
}
