// Package frame runs the control duties of a process as actors with bounded
// mailboxes. The bytes of statements do not pass through it.
package frame

import (
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/sirupsen/logrus"
)

// System owns the actors of one process.
type System struct {
	actors *actor.ActorSystem
	log    *logrus.Entry
}

// New returns an actor system that writes its own log through log.
func New(log *logrus.Entry) *System {
	factory := func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(log.WriterLevel(logrus.DebugLevel), nil))
	}
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)), log: log}
}

// Ref addresses one actor.
type Ref struct {
	system *System
	pid    *actor.PID
}

// Handler takes one message at a time. It must not block for longer than the
// duty allows; calls over the network belong in a goroutine that sends its
// result back as a message.
type Handler func(message any)

// Spawn starts an actor whose mailbox holds up to mailbox messages. A sender
// to a full mailbox waits.
func (s *System) Spawn(name string, mailbox int, handle Handler) (*Ref, error) {
	receive := func(c actor.Context) {
		switch m := c.Message().(type) {
		case actor.SystemMessage, actor.AutoReceiveMessage, *actor.Started, *actor.Stopping, *actor.Stopped, *actor.Restarting:
		default:
			handle(m)
		}
	}
	props := actor.PropsFromFunc(receive, actor.WithMailbox(actor.Bounded(mailbox)))
	pid, err := s.actors.Root.SpawnNamed(props, name)
	if err != nil {
		return nil, err
	}
	return &Ref{system: s, pid: pid}, nil
}

// Send puts the message into the actor's mailbox.
func (r *Ref) Send(message any) { r.system.actors.Root.Send(r.pid, message) }

// Stop ends the actor after the messages that it already holds.
func (r *Ref) Stop() { _ = r.system.actors.Root.PoisonFuture(r.pid).Wait() }

// Tick sends the message at the interval until stop is closed.
func (r *Ref) Tick(interval time.Duration, message any, stop <-chan struct{}) {
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.Send(message)
			}
		}
	}()
}

// Shutdown stops all actors of the system.
func (s *System) Shutdown() { s.actors.Shutdown() }
