package steward

import (
	"context"
	"slices"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/coord"
)

const (
	// maxOrderDelay is how long after it was sent an order without an answer may take effect.
	maxOrderDelay = 13 * time.Second
	// maxEffectDelay is how long after its answer an order may take effect.
	maxEffectDelay = 2 * ExpectedPromotionTime
)

// outstandingOrders are the orders of a group that may still take effect, as known from its row.
type outstandingOrders struct {
	targets []string
	// token is that of the newest order, era that of the row from which the orders are known.
	token, era uint64
	// answered reports that the newest order was answered, which fences the others.
	answered bool
	until    boottime.Time
}

// next returns the outstanding orders after a version of the row was observed.
func (o outstandingOrders) next(r record, version coord.Version, now boottime.Time) outstandingOrders {
	targets := r.unansweredTargets()
	switch {
	case len(targets) > 0 && r.Target == "" && len(o.targets) > 0:
		return o // the lease was taken over; nothing was ordered since
	case len(targets) > 0 && (o.answered || o.token != r.Token || len(o.targets) == 0):
		return outstandingOrders{targets, r.Token, version.Era(), false, now.Add(maxOrderDelay)}
	case len(targets) > 0:
		return o // the same order
	case r.Target == "" && len(o.targets) > 0 && version.Era() != o.era:
		return o // a steward that cannot know of the orders; its row was lost
	case r.Target == "":
		return outstandingOrders{}
	case o.answered && slices.Equal(o.targets, []string{r.Target}):
		return o
	}
	return outstandingOrders{[]string{r.Target}, r.Token, version.Era(), true, now.Add(maxEffectDelay)}
}

// OutstandingTargets returns the servers of the group whose promotion was ordered and may take
// effect from now on. A commit that another server acknowledges meanwhile may be missing there.
// answered reports that the order was answered, so that there is one, which takes effect soon.
func (s *Steward) OutstandingTargets(group string) (targets []string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.observations[group].orders
	if s.now() >= o.until {
		return nil, false
	}
	return slices.Clone(o.targets), o.answered
}

// RefreshOrders reads the row of the group, for OutstandingTargets, within storeTimeout.
func (s *Steward) RefreshOrders(ctx context.Context, group string) error {
	r, version, _, err := s.readRow(ctx, group)
	if err != nil {
		return err
	}
	s.mu.Lock()
	isOld := version < s.observations[group].version
	s.mu.Unlock()
	if !isOld { // the answer may have been late
		s.observeRow(group, r, version)
	}
	return nil
}
