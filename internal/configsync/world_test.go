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

// cluster simulates a fleet with one fake platform in virtual time, with fault
// injection on every link. The delays on a link depend on the seed, the link and the
// number of the call on it.
type cluster struct {
	t               *testing.T
	seed            uint64
	system          *frame.System
	store           *fakePlatform
	base            time.Time
	expiredOverride func(*Node) bool // replaces the expiry check in the monitor, for broken nodes
	checkFrozen     bool             // the monitor checks frozen members too

	mu         sync.Mutex
	members    []*member
	route      map[string]*member // by address
	partitions map[[2]string]bool // from and to: a member, a domain, "platform" or "*"
	calls      map[string]uint64
	slow       time.Duration            // extra delay of each direction of a platform call
	late       map[string]time.Duration // extra delay of messages to a member
	inForce    map[string]bool          // objects that were ever in force
	decoded    map[uint64]Record        // records decoded by the monitor, by row version
	failures   []string
	ref        catalog.KeyRef // the customer's key
	withdrawn  bool           // its withdrawal was reported in force
	inFlight   sync.WaitGroup // calls, including those whose caller has stopped waiting
	operators  sync.WaitGroup // background tasks that must end before the synctest bubble does
}

// member is one process, with a clock that runs at its own rate.
type member struct {
	cluster   *cluster
	id        string
	domain    string
	address   string
	clockRate float64
	node      *Node

	mu      sync.Mutex
	onState func(grant, patch string)
	frozen  chan struct{} // non-nil while frozen; closed by thaw
	dead    bool
	version uint64 // newest version served
}

const platformName = "platform"

var incarnations struct {
	sync.Mutex
	last uint64
}

// incarnation returns a number that is unique in the test process, because actor names
// must be unique.
func incarnation() uint64 {
	incarnations.Lock()
	defer incarnations.Unlock()
	incarnations.last++
	return incarnations.last
}

// runCluster runs a scenario with a number of holders in three domains, and returns
// the failures that the scenario and the monitor reported.
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

// add starts a new member.
func (c *cluster) add(id, domain string, observer bool) *member {
	m := &member{cluster: c, id: id, domain: domain, address: id + ":1"}
	m.clockRate = 1 + float64(int(c.draw("rate "+id)%101)-50)/1000 // within 5 percent
	m.node = New(Config{
		VM:          services.VM{ID: id, Domain: domain, Address: m.address},
		Incarnation: incarnation(), Services: &endpoint{cluster: c, name: id, domain: domain, member: m},
		Caller: &endpoint{cluster: c, name: id, domain: domain, member: m}, System: c.system, Now: m.now, Observer: observer,
		OnEvent: func(_ string, f map[string]string) {
			m.mu.Lock()
			onState := m.onState
			m.mu.Unlock()
			if onState != nil {
				onState(f["grant"], f["patch_state"])
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

// fail records a failure; only the first five are kept.
func (c *cluster) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.failures) < 5 {
		c.failures = append(c.failures, fmt.Sprintf(format, args...))
	}
}

// draw returns the next pseudo-random number of a stream.
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

// setOnState sets the function that is called with the states of the two charts at
// each change.
func (m *member) setOnState(f func(grant, patch string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onState = f
}

// setCheckFrozen sets whether the monitor checks frozen members.
func (c *cluster) setCheckFrozen(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkFrozen = on
}

// overrideExpired replaces the expiry check, to simulate broken nodes.
func (c *cluster) overrideExpired(expired func(*Node) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiredOverride = expired
}

// now returns the member's clock. It blocks while the member is frozen.
func (m *member) now() time.Time {
	m.waitWhileFrozen()
	return m.clock()
}

// clock returns the member's clock without blocking.
func (m *member) clock() time.Time {
	return m.cluster.base.Add(time.Duration(float64(time.Since(m.cluster.base)) * m.clockRate))
}

// waitWhileFrozen blocks while the member is frozen.
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

// kill stops the member. Messages from and to it are lost from now on.
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

// partition drops all messages in one direction between two places.
func (c *cluster) partition(from, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[[2]string{from, to}] = true
}

// isPartitioned reports whether messages from one place to another are dropped. The
// partition of a domain affects only messages that cross the domain's boundary.
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

// heal ends all injected faults.
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

// submit runs one operator's patch command and compares its result with the
// configuration row.
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
		c.fail("patch %s was reported refused but is in force", id)
	}
	return r
}

// monitor checks all members every 3 ms.
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

// checkMembers checks that a member with an unexpired view serves no more than the
// version in force allows, nothing that was never in force, and no older version than
// before, and that no member accepts a key whose withdrawal was reported in force.
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

// view returns what Node.View returns now. For a frozen member it is what Node.View
// would return when the member is thawed, before anything else runs there.
func (m *member) view() catalog.View {
	v := m.node.viewAt(m.clock())
	m.cluster.mu.Lock()
	expired := m.cluster.expiredOverride
	m.cluster.mu.Unlock()
	if expired != nil {
		v.Expired = expired(m.node)
	}
	return v
}

// decode decodes a configuration row for the monitor, each version only once.
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

// acceptsKey reports whether the member authorizes the customer's key on a closed route.
func (c *cluster) acceptsKey(m *member) bool {
	_, _, err := m.view().AuthorizeKey("depot", c.ref, "racks")
	return err == nil
}

// checkMember checks one member against the record in the configuration row.
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

// waitUntil waits until a condition holds, for at most limit in virtual time. It
// returns false if it timed out.
func (c *cluster) waitUntil(limit time.Duration, ok func() bool) bool {
	for range int(limit / (5 * time.Millisecond)) {
		if ok() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ok()
}

// allServing reports whether all members that are alive and did not leave are not
// frozen and have an unexpired view.
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

// endpoint is the connection of one process or operator to the platform and to peers.
type endpoint struct {
	cluster *cluster
	name    string
	domain  string
	member  *member
}

// transmit waits for the delay of one direction and reports whether the message
// arrives.
func (p *endpoint) transmit(from, fromDomain, to, toDomain string, extra time.Duration) bool {
	d := 200*time.Microsecond + time.Duration(p.cluster.draw(from+">"+to)%uint64(3*time.Millisecond))
	p.cluster.mu.Lock()
	d += extra + p.cluster.late[to]
	p.cluster.mu.Unlock()
	time.Sleep(d)
	return !p.cluster.isPartitioned(from, fromDomain, to, toDomain)
}

// checkAlive waits while the member is frozen and returns an error if it is dead.
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

// callResult is the result of one call.
type callResult[T any] struct {
	value T
	err   error
}

// callWithContext runs one call and returns its result, or an error of the kind lost
// if the context ends first. The call itself then continues in the background.
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

// callPlatform transmits one call to the platform and its answer back.
func callPlatform[T any](ctx context.Context, p *endpoint, call func(f *fakePlatform) (T, error)) (T, error) {
	return callWithContext(ctx, p, errkind.PlatformUnknown, func() (T, error) {
		var zero T
		p.cluster.mu.Lock()
		slow := p.cluster.slow
		p.cluster.mu.Unlock()
		if !p.transmit(p.name, p.domain, platformName, platformName, slow) {
			return zero, errkind.New(errkind.PlatformUnavailable, "partitioned")
		}
		value, err := call(p.cluster.store)
		if !p.transmit(platformName, platformName, p.name, p.domain, slow) {
			return zero, errkind.New(errkind.PlatformUnknown, "answer lost")
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

// Call transmits one call to another process and its answer back.
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

// callPeer transmits one call to another member and its reply back.
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
