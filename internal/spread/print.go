package spread

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "nodes\tway\tfault\treach ms\tmissed\tcatch-up ms\tmsg/s\tB/s\tmax B/s\tchange msg\tchange B\tmax change B\tcpu us/s\treads/s\tmax reads/s\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%v\t%v\t%s\t%d\t%s\t%.1f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t\n",
			r.Nodes, r.Protocol, r.Fault, milliseconds(r.Reach), r.Missed, milliseconds(r.CatchUp),
			r.PeriodicMessages, r.PeriodicBytes, r.PeriodicBytesMax,
			r.ChangeMessages, r.ChangeBytes, r.ChangeBytesMax,
			float64(r.CPU.Nanoseconds())/1e3, r.Reads, r.ReadsMax)
	}
	return errors.Annotate(table.Flush(), "table")
}

func milliseconds(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", float64(d)/float64(time.Millisecond))
}

// Run measures and prints the distribution protocols and the cost of membership. All
// figures except processor time and memory are determined by the seed.
func Run(w io.Writer, seed int64) error {
	if err := Print(w, Measure(seed)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	return PrintMembership(w, MeasureMembership(seed))
}
