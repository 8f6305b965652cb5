package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/standin/repeatconn"
	"chicoryline/internal/timeline"
)

// Echo is a service that returns its argument.
type Echo struct{}

// Back returns the argument, or an error if it is negative.
func (Echo) Back(args *int, reply *int) error {
	if *args < 0 {
		return Encode(errkind.New(errkind.Conflict, "negative"))
	}
	*reply = *args
	return nil
}

// Guards against a second answer, or a second error, that is taken for the answer to the next call.
func TestRepeatedAnswerIsNotThatToTheNextCall(t *testing.T) {
	for _, first := range []int{1, -1} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(timeline.NewClock(time.Now), listener, nil)
		if err := server.Register("Echo", Echo{}); err != nil {
			t.Fatal(err)
		}
		go server.Serve()
		defer server.Close()
		fault := &repeatconn.Fault{}
		client := NewClient(timeline.NewClock(time.Now), fault.Dial, nil)
		defer client.Close()
		call := func(n int) (reply int, err error) {
			err = client.Call(context.Background(), listener.Addr().String(), "Echo.Back", &n, &reply)
			return reply, err
		}
		// The first answers describe their types. A copy of such a one breaks the connection.
		if got, err := call(7); got != 7 || err != nil {
			t.Fatalf("%d, %v", got, err)
		}
		if _, err := call(-2); !errkind.Is(err, errkind.Conflict) {
			t.Fatal(err)
		}
		if _, err := call(first); (err == nil) != (first > 0) {
			t.Fatal(err)
		}
		fault.Arm()
		if got, err := call(3); got != 3 || err != nil {
			t.Errorf("call after %d: %d, %v", first, got, err)
		}
		if got, err := call(4); got != 4 || err != nil {
			t.Errorf("call after that: %d, %v", got, err)
		}
	}
}
