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

// world is a fleet on one fake platform in virtual time, with fault switches on
// every link. A link's delays follow from the seed, the link and the number of
// the call on it.
type world struct {
	t      *testing.T
	seed   uint64
	system *frame.System
	store  *fakePlatform
	base   time.Time
	naive  func(*Node) bool // replaces the check of expiry in the monitor
	paused bool             // the monitor looks at frozen members too

	mu        sync.Mutex
	members   []*member
	route     map[string]*member // by address
	cuts      map[[2]string]bool // directed, of names of members, domains or "platform"
	calls     map[string]uint64
	slow      time.Duration // added to each platform call
	late      map[string]time.Duration
	inForce   map[string]bool   // objects that ever were in force
	decoded   map[uint64]Record // of the monitor, by row version
	failures  []string
	ref       catalog.KeyRef // the customer's key
	withdrawn bool           // its withdrawal was reported in force
	inFlight  sync.WaitGroup // calls, some of which nobody waits for any more
	operators sync.WaitGroup // background work that has to end before the bubble
}

// member is one process. Its clock runs at its own rate.
type member struct {
	w       *world
	id      string
	domain  string
	address string
	rate    float64
	node    *Node

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

// runWorld runs a scenario and returns the failures that the monitor saw.
func runWorld(t *testing.T, seed uint64, holders int, scenario func(w *world)) []string {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	w := &world{
		t: t, seed: seed, system: frame.New(logrus.NewEntry(log)), store: newFakePlatform(),
		route: map[string]*member{}, cuts: map[[2]string]bool{}, calls: map[string]uint64{},
		late: map[string]time.Duration{}, inForce: map[string]bool{"": true},
		decoded: map[uint64]Record{},
	}
	synctest.Test(t, func(*testing.T) {
		w.base = time.Now()
		for i := range holders {
			w.add(fmt.Sprintf("vm%d", i), fmt.Sprintf("d%d", i%3), false)
		}
		stop := make(chan struct{})
		var watching sync.WaitGroup
		watching.Add(1)
		go func() {
			defer watching.Done()
			w.monitor(stop)
		}()
		scenario(w)
		w.heal()
		w.operators.Wait()
		close(stop)
		watching.Wait()
		for _, m := range w.members {
			m.thaw()
			m.node.Close()
		}
		w.inFlight.Wait()
	})
	return w.failures
}

func (w *world) add(id, domain string, observer bool) *member {
	m := &member{w: w, id: id, domain: domain, address: id + ":1"}
	m.rate = 1 + float64(int(w.draw("rate "+id)%101)-50)/1000 // within 5 percent
	m.node = New(Config{
		VM:          services.VM{ID: id, Domain: domain, Address: m.address},
		Incarnation: incarnation(), Services: &port{w: w, name: id, domain: domain, owner: m},
		Caller: &port{w: w, name: id, domain: domain, owner: m}, System: w.system, Now: m.now, Observer: observer,
		OnEvent: func(_ string, f map[string]string) {
			m.mu.Lock()
			told := m.onState
			m.mu.Unlock()
			if told != nil {
				told(f["grant"], f["patch_state"])
			}
		},
	})
	w.mu.Lock()
	w.members = append(w.members, m)
	w.route[m.address] = m
	w.mu.Unlock()
	w.store.set(func() { w.store.vms = append(w.store.vms, m.node.cfg.VM) })
	if err := m.node.Start(); err != nil {
		w.fail("start: %v", err)
	}
	return m
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.failures) < 5 {
		w.failures = append(w.failures, fmt.Sprintf(format, args...))
	}
}

// draw returns the next number of a stream.
func (w *world) draw(stream string) uint64 {
	w.mu.Lock()
	w.calls[stream]++
	n := w.calls[stream]
	w.mu.Unlock()
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s %d", w.seed, stream, n)
	x := h.Sum64()
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9 >> 7
}

// tell sets what is told of each change of the charts' states.
func (m *member) tell(f func(grant, patch string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onState = f
}

// lookAtPaused makes the monitor look at frozen members too, or not.
func (w *world) lookAtPaused(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = on
}

// trust replaces the check of expiry.
func (w *world) trust(expired func(*Node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.naive = expired
}

// now is the member's clock; it stands still for the caller while frozen.
func (m *member) now() time.Time {
	m.wait()
	return m.clock()
}

func (m *member) clock() time.Time {
	return m.w.base.Add(time.Duration(float64(time.Since(m.w.base)) * m.rate))
}

// wait returns when the member is not frozen.
func (m *member) wait() {
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
	m.w.operators.Add(1)
	go func() {
		defer m.w.operators.Done()
		m.node.Close()
	}()
}

func (m *member) state() (dead, frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead, m.frozen != nil
}

func (w *world) cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = true
}

// isCut reports whether bytes from one place to another are lost. A domain's
// cut holds for what crosses its border.
func (w *world) isCut(from, fromDomain, to, toDomain string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, pair := range [][2]string{{from, to}, {from, "*"}, {"*", to}} {
		if w.cuts[pair] {
			return true
		}
	}
	return fromDomain != toDomain && (w.cuts[[2]string{fromDomain, "*"}] || w.cuts[[2]string{"*", toDomain}])
}

func (w *world) heal() {
	w.mu.Lock()
	w.cuts = map[[2]string]bool{}
	w.slow = 0
	w.late = map[string]time.Duration{}
	members := w.members
	w.mu.Unlock()
	w.store.set(func() {
		w.store.down, w.store.lose, w.store.vms = false, 0, nil
		for _, m := range members {
			w.store.vms = append(w.store.vms, m.node.cfg.VM)
		}
	})
	for _, m := range members {
		m.thaw()
	}
}

// submit runs one operator's command and checks its answer against the row.
func (w *world) submit(base uint64, patch, id string, limit time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	services := &port{w: w, name: "operator " + id}
	r, _ := Submit(ctx, services, base, []byte(patch), id)
	w.store.mu.Lock()
	record, err := decodeRecord(w.store.rows[recordKey])
	w.store.mu.Unlock()
	o, recorded := record.outcome(id)
	switch {
	case err != nil:
		w.fail("record: %v", err)
	case r.State == StateInForce && o.State != StateInForce:
		w.fail("patch %s was reported in force, recorded %q", id, o.State)
	case r.State == StateRefused && recorded && o.State == StateInForce:
		w.fail("patch %s was reported refused and is in force", id)
	}
	return r
}

// monitor looks at all members every few milliseconds.
func (w *world) monitor(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
			w.look()
		}
	}
}

// look checks that every member that serves at all serves no more than the
// version in force allows, nothing that was never in force, and never an older
// version than before.
func (w *world) look() {
	w.store.mu.Lock()
	row := w.store.rows[recordKey]
	w.store.mu.Unlock()
	record := w.decode(row)
	w.inForce[record.Object] = true
	w.mu.Lock()
	members, withdrawn, paused := w.members, w.withdrawn, w.paused
	w.mu.Unlock()
	for _, m := range members {
		if dead, frozen := m.state(); dead || (frozen && !paused) {
			continue
		}
		w.lookAt(m, record)
		if withdrawn && w.accepts(m) {
			w.fail("%s accepts a key whose withdrawal was reported in force", m.id)
		}
	}
}

// view is what Node.View returns now, or at the thaw of a frozen member before
// anything else runs there.
func (m *member) view() catalog.View {
	v := m.node.viewAt(m.clock())
	m.w.mu.Lock()
	naive := m.w.naive
	m.w.mu.Unlock()
	if naive != nil {
		v.Expired = naive(m.node)
	}
	return v
}

// decode reads a configuration row for the monitor, each version once.
func (w *world) decode(row services.Row) Record {
	if r, ok := w.decoded[row.Version]; ok {
		return r
	}
	r, err := decodeRecord(row)
	if err != nil {
		w.fail("record: %v", err)
	}
	w.decoded[row.Version] = r
	return r
}

// accepts reports whether the member lets the customer in on a closed route.
func (w *world) accepts(m *member) bool {
	_, _, err := m.view().AuthorizeKey("depot", w.ref, "racks")
	return err == nil
}

func (w *world) lookAt(m *member, record Record) {
	if m.view().Expired {
		return
	}
	s := m.node.shown.Load()
	known := w.decode(s.row)
	joint := known.Pending != nil && known.Pending.Object == record.Object
	if known.Object != record.Object && !joint && known.Version <= record.Version {
		w.fail("%s serves version %d (grant %s) while version %d is in force", m.id, known.Version, s.state, record.Version)
	}
	if !w.inForce[known.Object] && known.Version <= record.Version {
		w.fail("%s serves version %d, which was never in force", m.id, known.Version)
	}
	if known.Version < m.version {
		w.fail("%s went back from version %d to %d", m.id, m.version, known.Version)
	}
	m.version = known.Version
}

// until waits for a condition for at most a stretch of virtual time.
func (w *world) until(limit time.Duration, ok func() bool) bool {
	for range int(limit / (5 * time.Millisecond)) {
		if ok() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ok()
}

// allValid reports whether all members that live and did not leave serve.
func (w *world) allValid() bool {
	w.mu.Lock()
	members := w.members
	w.mu.Unlock()
	for _, m := range members {
		dead, frozen := m.state()
		s := m.node.shown.Load()
		if !dead && s.state != "returned" && (frozen || m.node.View().Expired) {
			return false
		}
	}
	return true
}

// port is one process's or operator's way to the platform and to its peers.
type port struct {
	w      *world
	name   string
	domain string
	owner  *member
}

// cross takes the delay of one direction and reports whether the bytes arrive.
func (p *port) cross(from, fromDomain, to, toDomain string, extra time.Duration) bool {
	d := 200*time.Microsecond + time.Duration(p.w.draw(from+">"+to)%uint64(3*time.Millisecond))
	p.w.mu.Lock()
	d += extra + p.w.late[to]
	p.w.mu.Unlock()
	time.Sleep(d)
	return !p.w.isCut(from, fromDomain, to, toDomain)
}

func (p *port) gate() error {
	if p.owner == nil {
		return nil
	}
	p.owner.wait()
	if dead, _ := p.owner.state(); dead {
		return errkind.New(errkind.PlatformUnknown, "process ended")
	}
	return nil
}

// answer is what comes back of one call.
type answer[T any] struct {
	value T
	err   error
}

// exchange runs one call and returns its answer, or lost when the context ends
// first. The call itself goes on.
func exchange[T any](ctx context.Context, p *port, lost errkind.Kind, call func() (T, error)) (T, error) {
	var zero T
	if err := p.gate(); err != nil {
		return zero, err
	}
	back := make(chan answer[T], 1)
	p.w.inFlight.Add(1)
	go func() {
		defer p.w.inFlight.Done()
		value, err := call()
		back <- answer[T]{value, err}
	}()
	select {
	case a := <-back:
		if err := p.gate(); err != nil {
			return zero, err
		}
		return a.value, a.err
	case <-ctx.Done():
		if err := p.gate(); err != nil {
			return zero, err
		}
		return zero, errkind.New(lost, "no answer in time")
	}
}

// onPlatform carries one call to the platform and its answer back.
func onPlatform[T any](ctx context.Context, p *port, call func(f *fakePlatform) (T, error)) (T, error) {
	return exchange(ctx, p, errkind.PlatformUnknown, func() (T, error) {
		var zero T
		p.w.mu.Lock()
		slow := p.w.slow
		p.w.mu.Unlock()
		if !p.cross(p.name, p.domain, platformName, platformName, slow) {
			return zero, errkind.New(errkind.PlatformUnavailable, "cut")
		}
		value, err := call(p.w.store)
		if !p.cross(platformName, platformName, p.name, p.domain, slow) {
			return zero, errkind.New(errkind.PlatformUnknown, "answer cut")
		}
		return value, err
	})
}

func (p *port) Get(ctx context.Context, key string) (services.Row, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) (services.Row, error) { return f.Get(ctx, key) })
}

func (p *port) List(ctx context.Context, prefix string) ([]services.Row, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) ([]services.Row, error) { return f.List(ctx, prefix) })
}

func (p *port) CompareAndSet(ctx context.Context, key string, version uint64, value []byte, id string) (services.Row, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) (services.Row, error) {
		return f.CompareAndSet(ctx, key, version, value, id)
	})
}

func (p *port) Delete(ctx context.Context, key string, version uint64, id string) error {
	_, err := onPlatform(ctx, p, func(f *fakePlatform) (bool, error) { return true, f.Delete(ctx, key, version, id) })
	return err
}

func (p *port) PutObject(ctx context.Context, data []byte) (string, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) (string, error) { return f.PutObject(ctx, data) })
}

func (p *port) Object(ctx context.Context, name string) ([]byte, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) ([]byte, error) { return f.Object(ctx, name) })
}

func (p *port) VMs(ctx context.Context) ([]services.VM, error) {
	return onPlatform(ctx, p, func(f *fakePlatform) ([]services.VM, error) { return f.VMs(ctx) })
}

func (p *port) Groups(context.Context) ([]services.Group, error) { return nil, nil }
func (p *port) Register(context.Context, services.VM) error      { return nil }

// Call carries one call to another process and its answer back.
func (p *port) Call(ctx context.Context, address, method string, args, reply any) error {
	p.w.mu.Lock()
	to := p.w.route[address]
	p.w.mu.Unlock()
	if to == nil {
		return errkind.New(errkind.Unreachable, "%s", address)
	}
	switch r := reply.(type) {
	case *PromiseReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *PromiseReply) error {
			if method == "Config.Lease" {
				return s.Lease(args.(LeaseAsk), r)
			}
			return s.Promise(args.(PromiseAsk), r)
		})
	case *DocumentReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *DocumentReply) error { return s.Document(args.(DocumentAsk), r) })
	case *NotifyReply:
		return callPeer(ctx, p, to, r, func(s *Service, r *NotifyReply) error { return s.Notify(args.(NotifyAsk), r) })
	}
	return errkind.New(errkind.Internal, "method %s", method)
}

func callPeer[T any](ctx context.Context, p *port, to *member, reply *T, call func(*Service, *T) error) error {
	value, err := exchange(ctx, p, errkind.OutcomeUnknown, func() (T, error) {
		var value T
		if !p.cross(p.name, p.domain, to.id, to.domain, 0) {
			return value, errkind.New(errkind.Unreachable, "%s", to.address)
		}
		to.wait()
		if dead, _ := to.state(); dead {
			return value, errkind.New(errkind.Unreachable, "%s", to.address)
		}
		err := call(to.node.Service(), &value)
		if !p.cross(to.id, to.domain, p.name, p.domain, 0) {
			return value, errkind.New(errkind.OutcomeUnknown, "%s", to.address)
		}
		return value, err
	})
	*reply = value
	return err
}
