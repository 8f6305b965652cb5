package fleet

import (
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
)

// ServiceName is the net/rpc name of the Service.
const ServiceName = "Fleet"

// answerTimeout bounds the time that a remote call waits for the actor.
const answerTimeout = time.Second

// Service handles RPCs from other members.
type Service struct{ fleet *Fleet }

// Service returns the net/rpc service.
func (f *Fleet) Service() *Service { return &Service{f} }

// Heartbeat processes another member's heartbeat and replies with this member's own.
func (s *Service) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	answer := make(chan Heartbeat, 1)
	s.fleet.sendToActor(heartbeatReceived{args, answer})
	return awaitReply(s.fleet, answer, reply)
}

// Records returns all records of this member's table. The argument is the caller's id.
func (s *Service) Records(_ string, reply *[]Record) error {
	answer := make(chan []Record, 1)
	s.fleet.sendToActor(recordsRequested{answer})
	return awaitReply(s.fleet, answer, reply)
}

func awaitReply[T any](f *Fleet, answer <-chan T, reply *T) error {
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case *reply = <-answer:
		return nil
	case <-f.ctx.Done():
		return peer.Encode(errkind.New(errkind.ShuttingDown, "fleet is closed"))
	case <-timer.C:
		return peer.Encode(errkind.New(errkind.Internal, "fleet did not answer within %v", answerTimeout))
	}
}
