package spread

import (
	"slices"
	"time"
)

// Fault is the trouble of one run. It begins with the change.
type Fault uint8

// The faults. Those of a domain end at healAt.
const (
	// FaultNone is no fault.
	FaultNone Fault = iota
	// FaultVMLoss is the loss of lossPercent of the VMs, which the others still
	// hold for alive.
	FaultVMLoss
	// FaultDomainPartition separates one failure domain from the others and the platform.
	FaultDomainPartition
	// FaultPlatformPartition separates one failure domain from the platform alone.
	FaultPlatformPartition
)

// lostVMPercent is the part of the VMs that FaultLoss takes away.
const lostVMPercent = 5

// String returns the fault as printed.
func (f Fault) String() string {
	return [...]string{"none", "5% lost", "domain cut", "domain without platform"}[f]
}

// Protocol names a way of spreading.
type Protocol uint8

// The ways.
const (
	// ProtocolPoll lets every VM poll the platform.
	ProtocolPoll Protocol = iota
	// ProtocolMesh connects every VM with every other.
	ProtocolMesh
	// ProtocolEARS is epidemic push with progress control.
	ProtocolEARS
	// ProtocolTwoLevel is Plan.
	ProtocolTwoLevel
)

// String returns the way as printed.
func (w Protocol) String() string {
	return [...]string{"poll", "mesh", "ears", "two-level"}[w]
}

// Never marks a time that the run did not see.
const Never = time.Duration(-1)

// Row is one line of the table. Messages and bytes count what a node sends and
// receives, in a mean and for the busiest node.
type Row struct {
	Protocol Protocol
	Nodes    int
	Fault    Fault
	// Reach is the time from the change until all running VMs have it that are
	// not cut off; Missed is the number of them without it at the end of the run.
	Reach  time.Duration
	Missed int
	// CatchUp is the time from the end of the fault until the VMs of the domain
	// have the change; Never if one of them did not get it or nothing was cut.
	CatchUp time.Duration
	// Periodic is the traffic that runs without a change, a second.
	PeriodicMessages float64
	PeriodicBytes    float64
	PeriodicBytesMax float64
	// Change is the traffic of the one change.
	ChangeMessages float64
	ChangeBytes    float64
	ChangeBytesMax float64
	// CPU is the processor time of the decision code of one node a second.
	CPU time.Duration
	// Reads and ReadsMax are the platform's reads in a mean second and in the
	// busiest one.
	Reads    float64
	ReadsMax int
}

// Sizes are the fleets that Measure runs, with their failure domains.
var Sizes = []struct{ Nodes, Domains int }{{8, 3}, {64, 4}, {256, 8}, {1500, 8}}

// Measure runs every way at every size under every fault.
func Measure(seed int64) []Row {
	var rows []Row
	for _, size := range Sizes {
		for _, w := range []Protocol{ProtocolPoll, ProtocolMesh, ProtocolEARS, ProtocolTwoLevel} {
			for _, fault := range []Fault{FaultNone, FaultVMLoss, FaultDomainPartition, FaultPlatformPartition} {
				rows = append(rows, measureRun(w, size.Nodes, size.Domains, fault, seed))
			}
		}
	}
	return rows
}

func measureRun(w Protocol, n, domains int, fault Fault, seed int64) Row {
	s := newSim(n, domains, nil, fault, seed)
	switch w {
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
	row := Row{Protocol: w, Nodes: n, Fault: fault}
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
