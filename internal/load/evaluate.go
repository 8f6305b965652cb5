package load

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// BookingCounts maps the id of each booking to the number of rows that the backend servers
// hold for it.
type BookingCounts map[string]int

// Event is a fault that was injected during the load.
type Event struct {
	At time.Time
	// Name is "primary_cut", "key_withdrawn" or "proxy_stopped".
	Name string
	// Group or Customer is the target of the fault.
	Group    string
	Customer string
}

// Figures is the result of a load. The first block of counters after Succeeded counts
// violations.
type Figures struct {
	Requests  int
	Succeeded int

	Lost            int
	Doubled         int
	Stale           int
	Mixed           int
	AfterWithdrawal int
	OverRate        int
	FalseNotRun     int

	ReplicaReadShare   float64
	WriteGap           time.Duration
	WorstCustomerShare float64
	WorstCustomer      string
	// WrongfulRefusals counts rate refusals that an ideal token bucket would not have made,
	// InsideRate these and the admitted requests, both for customers that stay within their
	// rate. OverloadUnused counts such refusals for the other customers.
	WrongfulRefusals int
	InsideRate       int
	OverloadUnused   int

	ReadP50, ReadP99   time.Duration
	WriteP50, WriteP99 time.Duration
	Kinds              map[string]int
	// Notes describes the first findings.
	Notes []string
}

const (
	// withdrawalDeadline is how long after its withdrawal a key may still work.
	withdrawalDeadline = 3 * time.Second
	// maxNotes limits the number of findings that are described.
	maxNotes = 10
	// histogramMax is the highest recorded latency, in microseconds; longer ones are clamped.
	histogramMax = 60_000_000
	// histogramDigits is the number of significant decimal digits of latencies.
	histogramDigits = 3
)

// Evaluate checks what callers observed against what the backend servers hold.
func Evaluate(cfg Config, records []Record, violations []Violation, events []Event, bookings BookingCounts) Figures {
	f := Figures{Requests: len(records), Kinds: map[string]int{}}
	f.checkWrites(records, bookings)
	f.countViolations(violations)
	f.checkWithdrawals(records, events)
	f.checkRates(cfg, records)
	f.findWorstCustomer(cfg, records, events)
	f.measureWriteGap(records, events)
	f.measureLatencies(records)
	return f
}

func (f *Figures) addNote(format string, args ...any) {
	if len(f.Notes) < maxNotes {
		f.Notes = append(f.Notes, fmt.Sprintf(format, args...))
	}
}

// checkWrites counts acknowledged bookings that are missing, bookings stored more than once,
// and bookings stored although the caller was told that the request had no effect.
func (f *Figures) checkWrites(records []Record, bookings BookingCounts) {
	for _, r := range records {
		if r.Booking == "" {
			continue
		}
		switch n := bookings[r.Booking]; {
		case r.Outcome.Class == Succeeded && n == 0:
			f.Lost++
			f.addNote("lost: %s of %s", r.Booking, r.Group)
		case (r.Outcome.Class == NotRun || r.Outcome.Class == Failed) && n > 0:
			f.FalseNotRun++
			f.addNote("false not run: %s of %s was answered %s", r.Booking, r.Group, r.Outcome.Kind)
		}
	}
	for booking, n := range bookings {
		if n > 1 {
			f.Doubled++
			f.addNote("doubled: %s is held %d times", booking, n)
		}
	}
}

func (f *Figures) countViolations(violations []Violation) {
	for _, violation := range violations {
		switch violation.Name {
		case "stale":
			f.Stale++
		case "mixed":
			f.Mixed++
		}
		f.addNote("%s: %s", violation.Name, violation.Text)
	}
}

// checkWithdrawals counts requests that succeeded although they were sent more than
// withdrawalDeadline after the customer's key was withdrawn.
func (f *Figures) checkWithdrawals(records []Record, events []Event) {
	for _, e := range events {
		if e.Name != "key_withdrawn" {
			continue
		}
		for _, r := range records {
			if r.Customer == e.Customer && r.Outcome.Class == Succeeded && r.Sent.After(e.At.Add(withdrawalDeadline)) {
				f.AfterWithdrawal++
				f.addNote("after withdrawal: %s was served %s after its key was withdrawn", r.Customer, r.Sent.Sub(e.At))
			}
		}
	}
}

// findWorstCustomer finds the customer with the lowest fraction of succeeded requests, among
// those that stayed within their rate and whose key was not withdrawn.
func (f *Figures) findWorstCustomer(cfg Config, records []Record, events []Event) {
	withdrawn := map[string]bool{}
	for _, e := range events {
		withdrawn[e.Customer] = e.Name == "key_withdrawn"
	}
	sent, served := map[string]int{}, map[string]int{}
	for _, r := range records {
		sent[r.Customer]++
		if r.Outcome.Class == Succeeded {
			served[r.Customer]++
		}
	}
	f.WorstCustomerShare = 1
	for _, c := range cfg.Customers {
		if c.ExceedsRate() || withdrawn[c.Name] || sent[c.Name] == 0 {
			continue
		}
		if share := float64(served[c.Name]) / float64(sent[c.Name]); share < f.WorstCustomerShare {
			f.WorstCustomerShare, f.WorstCustomer = share, c.Name
		}
	}
}

// measureWriteGap finds the longest time without an acknowledged write in a group whose
// primary was partitioned, starting from the last write before the partition.
func (f *Figures) measureWriteGap(records []Record, events []Event) {
	for _, e := range events {
		if e.Name != "primary_cut" {
			continue
		}
		var acks []time.Time
		for _, r := range records {
			if r.Group == e.Group && !r.Kind.IsRead() && r.Outcome.Class == Succeeded {
				acks = append(acks, r.Done)
			}
		}
		f.WriteGap = max(f.WriteGap, longestGap(acks, e.At))
	}
}

// longestGap returns the longest interval between successive times that ends after start.
func longestGap(times []time.Time, start time.Time) time.Duration {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		if times[i].After(start) {
			longest = max(longest, times[i].Sub(times[i-1]))
		}
	}
	return longest
}

func (f *Figures) measureLatencies(records []Record) {
	reads := hdrhistogram.New(1, histogramMax, histogramDigits)
	writes := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, r := range records {
		if r.Outcome.Class != Succeeded {
			f.Kinds[r.Outcome.Kind]++
			continue
		}
		f.Succeeded++
		histogram := writes
		if r.Kind.IsRead() {
			histogram = reads
		}
		_ = histogram.RecordValue(min(r.Done.Sub(r.Arrived).Microseconds(), histogramMax))
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	f.ReadP50, f.ReadP99 = at(reads, 50), at(reads, 99)
	f.WriteP50, f.WriteP99 = at(writes, 50), at(writes, 99)
}

// ViolationCount returns the number of guarantee violations.
func (f Figures) ViolationCount() int {
	return f.Lost + f.Doubled + f.Stale + f.Mixed + f.AfterWithdrawal + f.OverRate + f.FalseNotRun
}

// Line returns the figures as one line of key=value pairs.
func (f Figures) Line() string {
	kinds := make([]string, 0, len(f.Kinds))
	for kind, n := range f.Kinds {
		kinds = append(kinds, kind+":"+strconv.Itoa(n))
	}
	sort.Strings(kinds)
	refusedShare := 0.0
	if f.InsideRate > 0 {
		refusedShare = float64(f.WrongfulRefusals) / float64(f.InsideRate)
	}
	return fmt.Sprintf("requests=%d succeeded=%d lost=%d doubled=%d stale=%d mixed=%d after_withdrawal=%d over_rate=%d false_not_run=%d "+
		"replica_read_share=%.4f write_gap_ms=%d worst_customer_share=%.4f wrongful_refusals=%d wrongful_refusal_share=%.5f overload_unused=%d "+
		"read_p50_ms=%.2f read_p99_ms=%.2f write_p50_ms=%.2f write_p99_ms=%.2f not_served=%s",
		f.Requests, f.Succeeded, f.Lost, f.Doubled, f.Stale, f.Mixed, f.AfterWithdrawal, f.OverRate, f.FalseNotRun,
		f.ReplicaReadShare, f.WriteGap.Milliseconds(), f.WorstCustomerShare, f.WrongfulRefusals, refusedShare, f.OverloadUnused,
		milliseconds(f.ReadP50), milliseconds(f.ReadP99), milliseconds(f.WriteP50), milliseconds(f.WriteP99), strings.Join(kinds, ","))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteNotes writes the first findings, one line each.
func (f Figures) WriteNotes(w io.Writer) {
	for _, n := range f.Notes {
		_, _ = fmt.Fprintf(w, "finding=%q\n", n)
	}
}
