package failover

import (
	"context"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/services"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Failover"

// handoverTimeout limits a planned switchover that another process requested.
const handoverTimeout = 5 * time.Second

// Views requests the views of a group from other VMs.
type Views interface {
	// Peers returns the other VMs known to have stewards of the group. They may be dead.
	Peers(group string) []services.VM
	// View returns the VM's view of the group. It fails with the errors of peer.Caller.
	View(ctx context.Context, vm services.VM, group string) (DomainView, error)
}

// ViewArgs are the arguments of Failover.View.
type ViewArgs struct{ Group string }

// HandoverArgs are the arguments of Failover.Handover.
type HandoverArgs struct{ Group, Target string }

// HandoverReply is the reply of Failover.Handover.
type HandoverReply struct{ Primary string }

// PeerViews implements Views by RPC.
type PeerViews struct {
	Caller peer.Caller
	// List returns the other VMs that have stewards of the group.
	List func(group string) []services.VM
}

// Peers implements Views.
func (p PeerViews) Peers(group string) []services.VM { return p.List(group) }

// View implements Views.
func (p PeerViews) View(ctx context.Context, vm services.VM, group string) (DomainView, error) {
	var view DomainView
	err := p.Caller.Call(ctx, vm.Address, ServiceName+".View", ViewArgs{group}, &view)
	return view, err
}

// Service serves RPCs of other processes for this process's Runners. It is safe for
// concurrent use.
type Service struct {
	mu      sync.Mutex
	runners map[string]*Runner
}

// NewService returns a service with the given Runners.
func NewService(runners ...*Runner) *Service {
	s := &Service{runners: map[string]*Runner{}}
	for _, r := range runners {
		s.Add(r)
	}
	return s
}

// Add registers the Runner for its group.
func (s *Service) Add(r *Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runners[r.config.Group.Name] = r
}

// Remove unregisters the Runner, unless another one has been registered for its group
// since.
func (s *Service) Remove(r *Runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runners[r.config.Group.Name] == r {
		delete(s.runners, r.config.Group.Name)
	}
}

func (s *Service) runner(group string) (*Runner, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runners[group]
	if r == nil {
		return nil, errkind.New(errkind.NotFound, "no steward of group %s here", group)
	}
	return r, nil
}

// View is the net/rpc method that returns this VM's view of the group.
func (s *Service) View(args ViewArgs, reply *DomainView) error {
	r, err := s.runner(args.Group)
	if err != nil {
		return peer.Encode(err)
	}
	*reply = r.DomainView()
	return nil
}

// Handover is the net/rpc method that carries out a planned switchover.
func (s *Service) Handover(args HandoverArgs, reply *HandoverReply) error {
	r, err := s.runner(args.Group)
	if err != nil {
		return peer.Encode(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	reply.Primary, err = r.handover(ctx, args.Target)
	return peer.Encode(err)
}
