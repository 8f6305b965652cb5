package platform_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"chicoryline/internal/steward"
	"chicoryline/platform"
)

// A steward stopped while its order had no answer. Until the order was executed, callers were told
// that writes had succeeded, which the old primary acknowledged and the promoted server lacked.
func TestNoWriteSucceedsAtAServerThatIsBeingReplaced(t *testing.T) {
	f := start(t)
	old, target := f.primary(), f.Groups[0].Servers()[1]
	const holder, token = "stopped", 1 << 20
	row, err := json.Marshal(map[string]any{"holder": holder, "token": token, "active": true, "target": target.ID})
	if err != nil {
		t.Fatal(err)
	}
	f.runWithWriters(func() {
		f.Store.Put(steward.Table, f.Groups[0].Name(), row)
		time.Sleep(500 * time.Millisecond) // until the VMs have observed the row
		target.SetReceiveBlocked(true)
		time.Sleep(1500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := platform.NewPromotionClient(f.Store.Address()).Promote(ctx, f.Groups[0].Name(), target.ID, holder, token); err != nil {
			t.Error(err)
		}
		f.awaitNewPrimary(old)
		target.SetReceiveBlocked(false)
		f.awaitWritableNewPrimary(old)
	})
}
