package spread

import (
	"slices"
	"time"
)

// Fault is the fault injected into one run. It starts together with the change.
type Fault uint8

// The faults. The partitions end at faultEndTime.
const (
	// FaultNone is no fault.
	FaultNone Fault = iota
	// FaultVMCrash crashes crashedVMPercent of the VMs; the others still consider them alive.
	FaultVMCrash
	// FaultDomainPartition partitions one failure domain from the others and from the
	// platform.
	FaultDomainPartition
	// FaultPlatformPartition partitions one failure domain from the platform only.
	FaultPlatformPartition
)

// crashedVMPercent is the share of the VMs that FaultVMCrash crashes.
const crashedVMPercent = 5

// String returns the fault as printed.
func (f Fault) String() string {
	return [...]string{"none", "5% lost", "domain cut", "domain without platform"}[f]
}

// Protocol identifies a protocol that distributes a new version to all VMs.
type Protocol uint8

// The protocols.
const (
	// ProtocolPoll: every VM polls the platform.
	ProtocolPoll Protocol = iota
	// ProtocolMesh: every VM pushes to every other VM.
	ProtocolMesh
	// ProtocolEARS is epidemic gossip with progress control; see earsProtocol.
	ProtocolEARS
	// ProtocolTwoLevel uses the roles of AssignRole, as the product does.
	ProtocolTwoLevel
)

// String returns the protocol's name as printed.
func (w Protocol) String() string {
	return [...]string{"poll", "mesh", "ears", "two-level"}[w]
}

// Never is the value of a time that was not reached during the run.
const Never = time.Duration(-1)

// Row is the result of one run. Messages and bytes are those sent and received by a
// node: the mean over all nodes or, in fields ending in Max, those of the busiest node.
type Row struct {
	Protocol Protocol
	Nodes    int
	Fault    Fault
	// Reach is the time from the change until all running VMs outside a partitioned
	// domain have received it. Missed is the number of those VMs without it at the end of
	// the run.
	Reach  time.Duration
	Missed int
	// CatchUp is the time from the end of the fault until all VMs of the partitioned
	// domain have received the change. It is Never if one of them did not receive it or
	// no domain was partitioned.
	CatchUp time.Duration
	// The Periodic fields are the traffic per second that is independent of changes.
	PeriodicMessages float64
	PeriodicBytes    float64
	PeriodicBytesMax float64
	// The Change fields are the traffic caused by the one change.
	ChangeMessages float64
	ChangeBytes    float64
	ChangeBytesMax float64
	// CPU is the processor time that the protocol code of one node uses per second.
	CPU time.Duration
	// Reads is the mean number of platform reads per second, and ReadsMax that of the
	// busiest second.
	Reads    float64
	ReadsMax int
}

// Sizes are the fleet sizes that Measure runs, with their numbers of failure domains.
var Sizes = []struct{ Nodes, Domains int }{{8, 3}, {64, 4}, {256, 8}, {1500, 8}}

// Measure runs every protocol at every size with every fault.
func Measure(seed int64) []Row {
	var rows []Row
	for _, size := range Sizes {
		for _, protocol := range []Protocol{ProtocolPoll, ProtocolMesh, ProtocolEARS, ProtocolTwoLevel} {
			for _, fault := range []Fault{FaultNone, FaultVMCrash, FaultDomainPartition, FaultPlatformPartition} {
				rows = append(rows, measureRun(protocol, size.Nodes, size.Domains, fault, seed))
			}
		}
	}
	return rows
}

func measureRun(protocol Protocol, n, domains int, fault Fault, seed int64) Row {
	s := newSim(n, domains, nil, fault, seed)
	switch protocol {
	case ProtocolPoll:
		s.protocol = pollProtocol{}
	case ProtocolMesh:
		s.protocol = meshProtocol{}
	case ProtocolEARS:
		s.protocol = newEARS(n)
	case ProtocolTwoLevel:
		s.protocol = newTwoLevel(s)
	}
	s.run()
	row := Row{Protocol: protocol, Nodes: n, Fault: fault}
	s.addTimes(&row)
	s.addTraffic(&row)
	return row
}

func (s *sim) addTimes(row *Row) {
	row.CatchUp = Never
	late := false
	for i, at := range s.learnedAt {
		switch {
		case s.dead[i]:
		case s.fault == FaultDomainPartition && s.partitioned[i]:
			late = late || at < 0
			row.CatchUp = max(row.CatchUp, at-faultEndTime)
		case at < 0:
			row.Missed++
		default:
			row.Reach = max(row.Reach, at-changeTime)
		}
	}
	if late {
		row.CatchUp = Never
	}
	if row.Missed > 0 {
		row.Reach = Never
	}
}

func (s *sim) addTraffic(row *Row) {
	seconds, nodes := runDuration.Seconds(), float64(len(s.members))
	for _, t := range s.traffic {
		row.PeriodicMessages += float64(t.periodicMessages) / seconds / nodes
		row.PeriodicBytes += float64(t.periodicBytes) / seconds / nodes
		row.PeriodicBytesMax = max(row.PeriodicBytesMax, float64(t.periodicBytes)/seconds)
		row.ChangeMessages += float64(t.changeMessages) / nodes
		row.ChangeBytes += float64(t.changeBytes) / nodes
		row.ChangeBytesMax = max(row.ChangeBytesMax, float64(t.changeBytes))
	}
	row.CPU = s.cpu / time.Duration(len(s.members)) / time.Duration(seconds)
	for _, reads := range s.reads {
		row.Reads += float64(reads) / seconds
	}
	row.ReadsMax = slices.Max(s.reads)
}
