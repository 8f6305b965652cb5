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
	{"roster", "group", "the row of a group's servers was not read or written"},
	{"member", "member, silent_ms", "a VM or cell is no longer in touch, or its row is at fault"},
	{"members", "count", "the list of VMs changed"},
	{"rate_home", "address, member", "the VM that admits a customer's operations did not answer, or is not listed"},
	{"owner", "address, error", "the VM that runs a customer's single statements did not answer"},
	{"backend_server", "group, backend_server, failure_domain, address, primary, leaving, started, new_started, entry_version, known_ms, missing_ms, replaced_by", "a backend server became known, began to leave or started anew (started, new_started: Unix ms); its entry vanished, returned, or could not be read; the server is gone after its entry was missing for missing_ms, and remembered until it is replaced by one at its address, or by its own entry, or forgotten for others"},
	{"primary", "group, backend_server, previous, entry_version, how, acknowledged, acknowledged_age_ms, successor, term", "another backend server is taken as the primary; how: claimed by its entry, or promoted; `replaced`: the server's claims no longer count, as an order named the successor or a replica is in the later term; acknowledged: the highest position known to be acknowledged"},
	{"primary_health", "group, backend_server, since_ms, answered_age_ms, committed_age_ms, peer_answered_age_ms, peer_committed_age_ms, acknowledged, acknowledged_age_ms", "the primary began to leave statements or commits without an answer, the first sent since_ms ago, or answers again; what this VM and those in touch know of its last answers (-1: none); `not proved to lead`: a check of the lead failed, for the error's reason"},
	{"failover", "group, primary, reason, token, previous_holder, pending, acknowledged, server_ID, command, backend_server, received, term, received_ID, newest_term, leads, successor", "a step of a change of primary: what each server said of itself, commands and orders with their outcomes"},
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
