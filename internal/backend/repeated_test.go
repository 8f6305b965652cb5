package backend_test

import (
	"testing"

	"chicoryline/internal/backend"
	"chicoryline/internal/errkind"
	"chicoryline/internal/standin/dbinstance"
	"chicoryline/internal/standin/repeatconn"
)

// A second answer to a control command was taken for the answer to the next one: an old status for
// the present one, and a command that was refused for one that was executed.
func TestRepeatedAnswerIsNotThatToTheNextCommand(t *testing.T) {
	s, first := start(t, dbinstance.Config{})
	ctx := testContext(t)
	if _, err := first.Fence(ctx, 5); err != nil {
		t.Fatal(err)
	}
	fault := &repeatconn.Fault{}
	c := newClient(t, s, fault.Dial)
	if before, err := c.Status(ctx); err != nil || before.Fence != 5 {
		t.Fatalf("%+v, %v", before, err)
	}
	if _, err := first.Fence(ctx, 6); err != nil {
		t.Fatal(err)
	}
	fault.Arm()
	if now, err := c.Status(ctx); err != nil || now.Fence != 6 {
		t.Errorf("status %+v, %v, want that of fence 6", now, err)
	}
	if _, err := c.Fence(ctx, 7); err != nil {
		t.Fatal(err)
	}
	fault.Arm()
	if status, err := c.Fence(ctx, 4); !errkind.Is(err, errkind.Fenced) {
		t.Errorf("status %+v, %v, want a refusal", status, err)
	}
	if _, err := c.Fence(ctx, 4); !errkind.Is(err, errkind.Fenced) {
		t.Fatal(err)
	}
	fault.Arm()
	if status, err := c.Promote(ctx, 7); err != nil || status.Role != backend.Primary {
		t.Errorf("status %+v, %v, want a promotion", status, err)
	}
}
