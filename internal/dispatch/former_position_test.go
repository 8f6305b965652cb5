package dispatch

import (
	"testing"
	"time"

	"chicoryline/internal/boottime"
	"chicoryline/internal/position"
)

// Guards against a too low position of a former server: this VM dropped a server whose failure
// domain was partitioned, knew only what was acknowledged before the partition, and took that
// for everything the server may hold.
func TestPositionOfServerDroppedDuringPartitionIsUnknown(t *testing.T) {
	before, during := position.Position{Term: 2, Offset: 264}, position.Position{Term: 2, Offset: 270}
	g := &Group{Name: "g"}
	g.ObserveAcknowledged(before)
	g.mu.Lock()
	g.addFormerServer(FormerServer{ServerInfo: ServerInfo{ID: "s", Address: "127.0.0.1:1"}, Since: boottime.Now().Add(-time.Minute)})
	g.mu.Unlock()
	g.ObserveAcknowledged(during) // the partition ends, and its VMs report what was acknowledged
	if p := g.FormerServers()[0].Position; !p.IsZero() && !p.AtLeast(during) {
		t.Errorf("%s is taken for the end of the log of a server that acknowledged %s", p, during)
	}
}
