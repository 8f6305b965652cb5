package timeline

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// textTimeLayout is the layout of wall time in the output.
const textTimeLayout = "15:04:05.000000"

// WriteText writes one line of key=value pairs for each event.
func WriteText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, formatEvent(e)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func formatEvent(e Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "time=%s.%d vm=%s domain=%s kind=%s", e.Stamp.Time().Format(textTimeLayout), e.Stamp.Logical, e.VM, e.Domain, e.Kind)
	for _, field := range [][2]string{{"group", e.Group}, {"customer", e.Customer}, {"request", e.Request}, {"detail", e.Detail}} {
		if field[1] == "" {
			continue
		}
		value := field[1]
		if strings.ContainsAny(value, " =\"") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", field[0], value)
	}
	return b.String()
}

// page is the data of the HTML template.
type page struct {
	VMs  []string
	Rows []row
}

type row struct {
	Event  Event
	Time   string
	Column int
}

// WriteHTML writes a self-contained HTML page with one column for each VM and one row for
// each event.
func WriteHTML(w io.Writer, events []Event) error {
	p := page{}
	for _, e := range events {
		if !slices.Contains(p.VMs, e.VM) {
			p.VMs = append(p.VMs, e.VM)
		}
	}
	slices.Sort(p.VMs)
	for _, e := range events {
		p.Rows = append(p.Rows, row{Event: e, Time: e.Stamp.Time().Format(textTimeLayout), Column: slices.Index(p.VMs, e.VM)})
	}
	return errors.Trace(pageTemplate.Execute(w, p))
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>chicoryline time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 2px 6px; text-align: left; vertical-align: top; }
th { position: sticky; top: 0; background: #eee; }
td.time { font-family: monospace; white-space: nowrap; }
td.here { background: #eef4ff; }
small { color: #555; }
</style></head><body>
<h1>Time line</h1>
<p>{{len .Rows}} events of {{len .VMs}} VMs, causes before effects.
Filter: <input id="filter" placeholder="text"></p>
<table id="events"><thead><tr><th>time (UTC)</th>{{range .VMs}}<th>{{.}}</th>{{end}}</tr></thead><tbody>
{{$vms := .VMs}}{{range .Rows}}{{$row := .}}<tr><td class="time">{{.Time}}</td>{{range $i, $vm := $vms}}{{if eq $i $row.Column}}<td class="here"><b>{{$row.Event.Kind}}</b> {{$row.Event.Group}} {{$row.Event.Customer}}<br><small>{{$row.Event.Detail}} {{$row.Event.Request}}</small></td>{{else}}<td></td>{{end}}{{end}}</tr>
{{end}}</tbody></table>
<script>
document.getElementById("filter").oninput = function () {
  var text = this.value.toLowerCase();
  document.querySelectorAll("#events tbody tr").forEach(function (r) {
    r.hidden = r.textContent.toLowerCase().indexOf(text) < 0;
  });
};
</script></body></html>
`))
