package spread

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/fleet"
	"chicoryline/internal/services"
)

// MembershipRow is the cost of membership for one VM in a fleet without changes.
// Messages and bytes are those sent and received.
type MembershipRow struct {
	Nodes    int
	Messages float64 // per second
	Bytes    float64 // per second, heartbeats including headers
	// ListBytes is the traffic for reading the platform's list, in bytes per second.
	ListBytes float64
	// ListReads is the number of list reads by the whole fleet per second.
	ListReads float64
	// CPU is the processor time per second for the membership table and for encoding the
	// messages sent.
	CPU time.Duration
	// AssignRole is the duration of one AssignRole call, made after a member change.
	AssignRole time.Duration
	// Heap is the memory of the table and one snapshot, in bytes.
	Heap int64
}

// membershipRunDuration is the virtual duration of a run of MeasureMembership.
const membershipRunDuration = 60 * time.Second

// MeasureMembership runs one VM's table against fleets of several sizes in which all
// other members reply.
func MeasureMembership(seed int64) []MembershipRow {
	var rows []MembershipRow
	for _, n := range []int{8, 16, 64, 256, 1500} {
		rows = append(rows, measureMembership(n, seed))
	}
	return rows
}

// peerSimulator runs one table and simulates all other members of its fleet.
type peerSimulator struct {
	table    *fleet.Table
	records  map[string]fleet.Record
	ids      []string
	next     int
	sequence uint64
	now      time.Time

	bytesSent      byteCounter
	encoder        *gob.Encoder
	cpu            time.Duration
	heartbeatsSent int
}

// byteCounter is an io.Writer that counts the bytes written.
type byteCounter int64

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

func measureMembership(n int, seed int64) MembershipRow {
	members := makeMembers(n, Sizes[len(Sizes)-1].Domains)
	before := heapBytes()
	r := newPeerSimulator(members, seed)
	directory := fleet.NewDirectory(members[0], r.table.Members()...)
	heap := heapBytes() - before
	runtime.KeepAlive(directory)
	r.run(membershipRunDuration)
	seconds := membershipRunDuration.Seconds()
	start := time.Now()
	AssignRole(members, members[0])
	assignTime := time.Since(start)
	list := listInterval(n)
	return MembershipRow{
		Nodes:      n,
		Messages:   float64(2*r.heartbeatsSent) / seconds,
		Bytes:      2 * (float64(r.bytesSent) + float64(r.heartbeatsSent*callOverhead)) / seconds,
		ListBytes:  float64(listSize(members)+platformRequest+platformOverhead) / list.Seconds(),
		ListReads:  float64(n) / list.Seconds(),
		CPU:        time.Duration(float64(r.cpu) / seconds),
		AssignRole: assignTime,
		Heap:       heap,
	}
}

func newPeerSimulator(members []fleet.Member, seed int64) *peerSimulator {
	timing := fleet.Timing{
		Heartbeat: fleet.DefaultHeartbeatInterval, Suspect: fleet.DefaultSuspectAfter,
		Dead: fleet.DefaultDeadAfter, List: fleet.DefaultListInterval,
	}
	r := &peerSimulator{records: map[string]fleet.Record{}, now: time.Unix(1000, 0), sequence: 1}
	r.encoder = gob.NewEncoder(&r.bytesSent)
	r.table = fleet.NewTable(members[0].VM, 1, timing, rand.New(rand.NewSource(seed)), r.now)
	var records []fleet.Record
	for _, m := range members[1:] {
		record := fleet.Record{VM: m.VM, Incarnation: m.Incarnation, Sequence: 1, State: fleet.Alive}
		records = append(records, record)
		r.records[m.VM.ID] = record
		r.ids = append(r.ids, m.VM.ID)
	}
	r.table.ApplyRecords(records, r.now)
	return r
}

func (r *peerSimulator) run(d time.Duration) {
	incoming := 0
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(fleet.DefaultHeartbeatInterval)
		r.sequence++
		for range incoming {
			r.next++
			r.receive(r.heartbeatOf(r.ids[r.next%len(r.ids)]))
		}
		var plan fleet.Plan
		r.timeCode(func() { plan = r.table.Tick(r.now) })
		for _, call := range plan.Calls {
			r.timeCode(func() { r.encode(call.Args) })
			reply := r.heartbeatOf(call.VM)
			for _, key := range call.Args.Wanted {
				reply.Counters = append(reply.Counters, fleet.Counter{Key: key, Sequence: r.sequence - 1})
			}
			r.timeCode(func() { r.table.HandleReply(call.VM, reply, r.now) })
		}
		// This VM receives as many calls as it makes, from at most half of the others.
		incoming = min(len(plan.Calls), len(r.ids)/2)
	}
}

func (r *peerSimulator) receive(h fleet.Heartbeat) {
	r.timeCode(func() { r.encode(r.table.Receive(h, r.now)) })
}

func (r *peerSimulator) timeCode(code func()) {
	start := time.Now()
	code()
	r.cpu += time.Since(start)
}

func (r *peerSimulator) encode(h fleet.Heartbeat) {
	r.heartbeatsSent++
	if err := r.encoder.Encode(h); err != nil {
		panic(err) // gob can encode every field of the type
	}
}

func (r *peerSimulator) heartbeatOf(id string) fleet.Heartbeat {
	record := r.records[id]
	record.Sequence = r.sequence
	return fleet.Heartbeat{From: record}
}

func listInterval(n int) time.Duration {
	return fleet.DefaultListInterval * time.Duration(fleet.PlatformIntervalFactor(n))
}

func listSize(members []fleet.Member) int {
	var vms []services.VM
	for _, m := range members {
		vms = append(vms, m.VM)
	}
	data, err := json.Marshal(vms)
	if err != nil {
		return 0
	}
	return len(data)
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// PrintMembership writes the rows as a table.
func PrintMembership(w io.Writer, rows []MembershipRow) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\tmembership msg/s\tB/s\tlist B/s\tfleet's list reads/s\tcpu us/s\tplan us\theap kB\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%d\t\n", r.Nodes, r.Messages, r.Bytes,
			r.ListBytes, r.ListReads, float64(r.CPU.Nanoseconds())/1e3, float64(r.AssignRole.Nanoseconds())/1e3, r.Heap/1000)
	}
	return errors.Annotate(table.Flush(), "table")
}
