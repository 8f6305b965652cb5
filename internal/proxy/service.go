package proxy

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"chicoryline/internal/caller"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
)

// poolService adds views of groups to the pool's service.
type poolService struct {
	*pool.Service
	proxy *Proxy
}

// Execute adds the view of the group to the reply if the entry requests it. A group in use
// thus needs no separate calls for its views.
func (s *poolService) Execute(args *pool.ExecuteArgs, reply *pool.ExecuteReply) error {
	if err := s.Service.Execute(args, reply); err != nil {
		return err
	}
	if worker := s.proxy.groupWorker(args.Group); args.WantView && worker != nil {
		view := groupWatcher{worker.watcher}.view()
		reply.View = &view
	}
	return nil
}

// View returns this VM's view of a group that it watches.
func (s *poolService) View(args *pool.ViewArgs, reply *pool.ViewReply) error {
	worker := s.proxy.groupWorker(args.Group)
	if worker == nil {
		return peer.Encode(errkind.New(errkind.NotEligible, "group %s is not watched here", args.Group))
	}
	*reply = groupWatcher{worker.watcher}.view()
	return nil
}

// Refresh makes this VM probe the group immediately.
func (s *poolService) Refresh(args *pool.ViewArgs, _ *pool.Empty) error {
	if worker := s.proxy.groupWorker(args.Group); worker != nil {
		worker.watcher.Refresh()
	}
	return nil
}

// withLocalPool returns a caller that calls this process's own pool directly.
func (p *Proxy) withLocalPool() peer.Caller {
	s := p.poolService
	return &peer.LocalCaller{Caller: p.peers, Address: p.vm.Address, Methods: map[string]peer.Method{
		"Pool.Execute": peer.TypedMethod(s.Execute), "Pool.Fetch": peer.TypedMethod(s.Fetch), "Pool.View": peer.TypedMethod(s.View),
		"Pool.Abort": peer.TypedMethod(s.Abort), "Pool.Cancel": peer.TypedMethod(s.Cancel),
	}}
}

// Service serves calls that concern the process as a whole. It is registered as "Proxy".
type Service struct{ proxy *Proxy }

// CancelArgs identifies a caller's connection by its cancel key.
type CancelArgs struct {
	Number uint16
	Secret uint32
}

// Cancel executes a cancel request that another VM received.
func (s *Service) Cancel(args *CancelArgs, _ *pool.Empty) error {
	s.proxy.callers.Cancel(args.Number, args.Secret)
	return nil
}

// StatusReply is the status of one process for operators.
type StatusReply struct {
	VM            string
	Domain        string
	CallerAddress string
	Uptime        time.Duration
	Callers       int
	Busy          int
	Version       uint64
	Expired       bool
	Members       []string
	Groups        []GroupStatus
	Measures      []string
}

// Line formats the reply as one line of key=value pairs.
func (r *StatusReply) Line() string {
	groups := make([]string, len(r.Groups))
	for i, g := range r.Groups {
		groups[i] = fmt.Sprintf("%s:%s@%d", g.Name, g.Primary, g.Term)
	}
	sort.Strings(groups)
	return fmt.Sprintf("vm=%s failure_domain=%s callers_at=%s uptime=%s callers=%d busy=%d version=%d expired=%t members=%s groups=%s",
		r.VM, r.Domain, r.CallerAddress, r.Uptime.Round(time.Second), r.Callers, r.Busy, r.Version, r.Expired,
		strings.Join(r.Members, ","), strings.Join(groups, ","))
}

// GroupStatus is one group as this process observes it.
type GroupStatus struct {
	Name    string
	Primary string
	Term    uint64
}

// Status returns the status of the process.
func (s *Service) Status(_ *pool.Empty, reply *StatusReply) error {
	p := s.proxy
	view := p.config.View()
	*reply = StatusReply{
		VM: p.vm.ID, Domain: p.vm.Domain, CallerAddress: p.CallerAddress(), Uptime: time.Since(p.started),
		Callers: p.callers.Count(), Busy: p.pool.Busy(), Expired: view.Expired, Measures: p.measures.Lines(),
	}
	if view.Current != nil {
		reply.Version = view.Current.Version
	}
	for _, m := range p.fleet.Directory().Members() {
		reply.Members = append(reply.Members, m.VM.ID+"="+m.State.String())
	}
	for _, name := range p.groupWorkerNames() {
		if worker := p.groupWorker(name); worker != nil {
			primary, term, _ := worker.watcher.View().Primary()
			reply.Groups = append(reply.Groups, GroupStatus{Name: name, Primary: primary, Term: term})
		}
	}
	return nil
}

// HandoverArgs requests a planned switchover of a group's primary.
type HandoverArgs struct {
	Group  string
	Target string
}

// Handover moves the primary role of a group to the target instance.
func (s *Service) Handover(args *HandoverArgs, _ *pool.Empty) error {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	return peer.Encode(s.proxy.Handover(ctx, args.Group, args.Target))
}

// Handover moves the primary role of a group that this VM watches to the target instance.
// Errors: errkind.NotEligible if this VM does not watch the group.
func (p *Proxy) Handover(ctx context.Context, group, target string) error {
	worker := p.groupWorker(group)
	if worker == nil {
		return errkind.New(errkind.NotEligible, "group %s is not watched here", group)
	}
	return worker.runner.Handover(ctx, target)
}

// ForwardCancel implements caller.CancelForwarder.
func (p *Proxy) ForwardCancel(tag uint16, number uint16, secret uint32) {
	for _, m := range p.fleet.Directory().Members() {
		if caller.VMTag(m.VM.ID) != tag {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		_ = p.peers.Call(ctx, m.VM.Address, "Proxy.Cancel", &CancelArgs{Number: number, Secret: secret}, &pool.Empty{})
		cancel()
	}
}
