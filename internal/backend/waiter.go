package backend

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/position"
)

const (
	// waitNetworkMargin is added to the timeout of a wait for the network round trip.
	waitNetworkMargin = time.Second
	// maxWaitCommand bounds one wait command at the instance, so that a wait for a
	// lower position that starts meanwhile is not delayed for longer.
	maxWaitCommand = 50 * time.Millisecond
)

// waiter multiplexes any number of waits over one connection: it waits for the lowest
// position first and applies each answer to all waits.
type waiter struct {
	conn *controlConn

	// mu guards the fields below.
	mu      sync.Mutex
	waiting map[*waitCall]struct{}
	running bool
}

// waitCall is one call of Client.Wait; done receives its outcome.
type waitCall struct {
	position position.Position
	until    time.Time
	done     chan waitOutcome
}

type waitOutcome struct {
	status Status
	err    error
}

func newWaiter(conn *controlConn) *waiter {
	return &waiter{conn: conn, waiting: map[*waitCall]struct{}{}}
}

func (w *waiter) close() { w.conn.close() }

func (w *waiter) wait(ctx context.Context, p position.Position, timeout time.Duration) (Status, error) {
	call := &waitCall{position: p, until: time.Now().Add(timeout), done: make(chan waitOutcome, 1)}
	w.mu.Lock()
	w.waiting[call] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
	w.mu.Unlock()
	select {
	case out := <-call.done:
		return out.status, out.err
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.waiting, call)
		w.mu.Unlock()
		return Status{}, errkind.New(errkind.OutcomeUnknown, "instance %s: %v", w.conn.cfg.ID, ctx.Err())
	}
}

// run sends wait commands until no call is waiting.
func (w *waiter) run() {
	for {
		p, timeout, ok := w.lowest()
		if !ok {
			return
		}
		command := fmt.Sprintf("SELECT * FROM instance_wait(%d, %d, %d)", p.Term, p.Offset, timeout.Milliseconds())
		status, err := w.conn.callWithTimeout(context.Background(), command, timeout+waitNetworkMargin)
		w.resolve(status, err)
	}
}

// lowest returns the lowest position of the waiting calls and the timeout of the next
// wait command. If no call is waiting, it ends run.
func (w *waiter) lowest() (position.Position, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var first *waitCall
	var until time.Time
	for call := range w.waiting {
		if first == nil || call.position.Compare(first.position) < 0 {
			first = call
		}
		if until.IsZero() || call.until.Before(until) {
			until = call.until
		}
	}
	if first == nil {
		w.running = false
		return position.Position{}, 0, false
	}
	return first.position, min(max(time.Until(until), 0), maxWaitCommand), true
}

// resolve completes the calls whose position the instance has reached or fenced off, and
// those that have timed out. An error completes all calls.
func (w *waiter) resolve(status Status, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for call := range w.waiting {
		p := call.position
		if err == nil && !status.Confirms(p) && status.Fence <= p.Term && now.Before(call.until) {
			continue
		}
		delete(w.waiting, call)
		call.done <- waitOutcome{status, err}
	}
}
