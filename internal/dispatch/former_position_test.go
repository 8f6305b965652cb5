package dispatch

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// A server is dropped while its failure domain is cut off: this VM knows what was
// acknowledged before the cut only, and takes it for all that the server may hold.
func TestPositionOfServerDroppedDuringPartitionIsUnknown(t *testing.T) {
	before, behind := position.Position{Term: 2, Offset: 264}, position.Position{Term: 2, Offset: 270}
	g := &Group{Name: "g"}
	g.ObserveAcknowledged(before)
	g.mu.Lock()
	g.addFormerServer(FormerServer{ServerInfo: ServerInfo{ID: "s", Address: "127.0.0.1:1"}, Since: boottime.Now().Add(-time.Minute)})
	g.mu.Unlock()
	g.ObserveAcknowledged(behind) // the cut ends, and its VMs tell what the server acknowledged
	if p := g.FormerServers()[0].Position; !p.IsZero() && !p.AtLeast(behind) {
		t.Errorf("%s counts as all that the server may hold, and it let %s be acknowledged", p, behind)
	}
}
