// Package frame runs the control tasks of a process as actors with bounded mailboxes.
// Statement data does not pass through it.
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

// New returns an actor system that writes its own log to log at debug level.
func New(log *logrus.Entry) *System {
	factory := func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(log.WriterLevel(logrus.DebugLevel), nil))
	}
	return &System{actors: actor.NewActorSystem(actor.WithLoggerFactory(factory)), log: log}
}

// Ref is a reference to one actor.
type Ref struct {
	system *System
	pid    *actor.PID
}

// Handler handles one message at a time. It must not block for long, because the actor handles
// no other message meanwhile; calls over the network belong in a goroutine that sends the
// result back as a message.
type Handler func(message any)

// Spawn starts an actor whose mailbox holds up to the given number of messages. Send blocks
// while the mailbox is full.
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

// Send adds the message to the actor's mailbox.
func (r *Ref) Send(message any) { r.system.actors.Root.Send(r.pid, message) }

// Stop stops the actor once it has handled the messages in its mailbox, and waits for it.
func (r *Ref) Stop() { _ = r.system.actors.Root.PoisonFuture(r.pid).Wait() }

// Tick sends the message to the actor at the interval until stop is closed.
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
