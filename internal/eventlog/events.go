package eventlog

import (
	"fmt"
	"strings"
)

// Event is one kind of log line.
type Event struct {
	Name string
	// Keys stand in its lines beside time, level, msg and vm.
	Keys    string
	Meaning string
}

// Events is the closed list of what processes on the platform log.
var Events = []Event{
	{"start", "failure_domain", "the process serves"},
	{"stop", "", "a planned stop began, or the process ended"},
	{"reload", "changed", "the settings file was read again"},
	{"ready", "ready, config_age_ms", "the readiness check changed its answer"},
	{"config", "version, routes, customers", "a configuration came into force, or could not be read"},
	{"store_watch", "table, store_version, cause, address", "the store's changes of a table were lost or regained, or the VM at the address did not hand them on"},
	{"member", "member, silent_ms", "a VM or cell is no longer in touch, or its row is at fault"},
	{"members", "count", "the list of VMs changed"},
	{"rate_home", "address, member", "the VM that admits a customer's operations did not answer, or is not listed"},
	{"owner", "address, error", "the VM that runs a customer's single statements did not answer"},
	{"backend_server", "group, backend_server", "a backend server is gone, or its entry could not be read"},
	{"primary", "group, backend_server, entry_version, how", "another backend server is taken as the primary; how: claimed by its entry, or promoted"},
	{"failover", "group, primary, reason, token, backend_server, term, received_ID, previous_holder", "a step of a change of primary, with what each replica had received"},
	{"statement", "id, customer, database, group, took_ms, config_version, config_age_ms, kind, cause", "a statement was refused or failed, with what decided it; one of 256 that were served"},
	{"log_lines_dropped", "count", "lines that found no room in the ring"},
}

// Markdown returns the list as the table of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| event | keys | meaning |\n|---|---|---|\n")
	for _, e := range Events {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Name, e.Keys, e.Meaning)
	}
	return b.String()
}
