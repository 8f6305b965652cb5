package entry

import (
	"fmt"
	"math"

	"chicoryline/internal/access"
	"chicoryline/internal/connset"
	"chicoryline/internal/dispatch"
)

// priorities describes the priorities of the routes of a database group.
type priorities struct {
	differ bool
	// urgentRead is the most urgent priority of the routes whose reads replicas may serve.
	urgentRead int
}

// groupPriorities returns the priorities of each group.
func groupPriorities(c *access.Config) map[string]priorities {
	first, list := map[string]int{}, map[string]priorities{}
	for _, r := range c.Routes {
		p, known := list[r.Group]
		if !known {
			first[r.Group], p.urgentRead = r.Priority, math.MaxInt
		}
		p.differ = p.differ || r.Priority != first[r.Group]
		if r.Consistency != access.Current {
			p.urgentRead = min(p.urgentRead, r.Priority)
		}
		list[r.Group] = p
	}
	return list
}

// hashReads returns the key under which VMs report their load of a primary by reads that a
// replica may serve. It is part of the load under hashServer.
func hashReads(id string) uint32 { return hashServer(id + "/reads") }

// primaryLoad returns the load of a primary by all VMs.
func primaryLoad(s *dispatch.Server, members int, loads serverLoads) dispatch.PrimaryLoad {
	id := s.Info().ID
	l := dispatch.PrimaryLoad{Members: members}
	l.Own, l.Others = loads.at(hashServer(id))
	l.OwnReads, l.OtherReads = loads.at(hashReads(id))
	return l
}

// admissionLines returns the metrics of admission at a backend server. read_limit_milli is the
// limit of this VM for reads at the primary that a replica may serve, in thousandths of a
// statement in flight, -1 without one.
func admissionLines(prefix string, c connset.Stats, withheld int64) []string {
	limit := int64(-1)
	if c.ReplaceableLimit >= 0 {
		limit = int64(c.ReplaceableLimit * 1000)
	}
	return []string{
		fmt.Sprintf("%s.refused %d", prefix, c.Refused), fmt.Sprintf("%s.displaced %d", prefix, c.Displaced),
		fmt.Sprintf("%s.retries_withheld %d", prefix, withheld), fmt.Sprintf("%s.read_limit_milli %d", prefix, limit),
	}
}
