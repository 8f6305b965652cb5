package load

import (
	"fmt"
	"io"
	"time"
)

// WriteCustomers writes one line for each customer: requests sent, served and refused for the
// rate, statements served per second, and the statements per second that its rate and burst
// allow.
func WriteCustomers(w io.Writer, cfg Config, records []Record) {
	for _, c := range cfg.Customers {
		var sent, served, refused, statements int
		for _, r := range records {
			if r.Customer != c.Name {
				continue
			}
			sent++
			switch {
			case r.Outcome.Class == Succeeded:
				served++
				statements += r.Statements
			case r.Outcome.OverRate():
				refused++
			}
		}
		seconds := cfg.Duration.Seconds()
		_, _ = fmt.Fprintf(w, "customer=%s rate=%g burst=%g sent=%d served=%d over_rate=%d statements_per_s=%.0f allowed_per_s=%.0f\n",
			c.Name, c.Rate, c.Burst, sent, served, refused, float64(statements)/seconds, c.Rate+c.Burst*float64(time.Second)/float64(cfg.Duration))
	}
}
