package eventlog

import (
	"fmt"
	"strings"
)

// Event describes one kind of log line.
type Event struct {
	Name string
	// Keys are the fields of its lines besides time, level, msg and vm.
	Keys    string
	Meaning string
}

// Events lists every event that processes on the platform log.
var Events = []Event{
	{"start", "failure_domain", "the process serves callers"},
	{"stop", "id", "a planned stop began, or the process ended; the answer to a request came after its connection had been interrupted at the end of the stop, or could not be sent then"},
	{"reload", "changed", "the settings file was read again after SIGHUP; changed tells whether it differs from the running settings"},
	{"ready", "ready, config_age_ms", "the result of the readiness check changed"},
	{"config", "version, store_version, in_force, routes, customers, left_out, entries", "a configuration came into force, without left_out entries whose names are invalid, of which some are shown, or could not be decoded; or the store holds an older one than the one in force"},
	{"store_watch", "table, store_version, cause, address", "the watch of a table failed or recovered, or the VM at the address did not relay the changes of the table, so that they were read from the store; a table that is older than the known one is a failure"},
	{"store_access", "cause", "the VM gets no answers from the store, spaces its calls and leaves the reading to another VM, or gets answers again"},
	{"store_era", "era, previous, previous_ms", "the store answered for the first time, or for the first time after it was restored from a backup; previous_ms: how long ago the previous era was first observed"},
	{"roster", "group, backend_server", "the row with a group's known servers could not be decoded or written, or names a server without a valid address; the end of the primary's log, up to which a lost server may have held commits, is unknown"},
	{"member", "member, silent_ms", "a VM or cell became unreachable, or the row of a VM could not be decoded, read or written"},
	{"members", "count", "the list of VMs changed"},
	{"rate_home", "address, member", "the VM that admits a customer's operations did not answer, or is not in the list of VMs"},
	{"owner", "address, error", "the VM that runs a customer's single statements did not answer"},
	{"backend_server", "group, backend_server, failure_domain, address, primary, leaving, started, new_started, entry_version, known_ms, missing_ms, replaced_by, cold_ms", "a backend server was discovered, began to leave or restarted (started, new_started: Unix ms); its entry disappeared, came back, or could not be decoded; the server counts as gone after its entry was missing for missing_ms, and stays known as a former server until another one at its address or its own new entry replaces it, or it is evicted in favor of others; it counts as cold for cold_ms, or became warm"},
	{"primary", "group, backend_server, previous, entry_version, how, acknowledged, acknowledged_age_ms, successor, term", "the primary of the group changed; how: claimed by the entry of the new primary, or promoted; `replaced`: the server no longer counts as the primary even if its entry says so, because a promotion named the successor or a replica has a later term; acknowledged: the highest position known to be acknowledged"},
	{"primary_health", "group, backend_server, since_ms, answered_age_ms, committed_age_ms, peer_answered_age_ms, peer_committed_age_ms, acknowledged, acknowledged_age_ms", "the primary stopped answering statements or commits, the first of which was sent since_ms ago, or answers again; the ages of its last answers as known to this VM and to reachable VMs (-1: none); `not proved to lead`: a check of its leadership failed with the error"},
	{"failover", "group, primary, reason, token, previous_holder, pending, acknowledged, server_ID, bound_ID, command, backend_server, received, term, received_ID, newest_term, leads, successor", "a step of a failover or planned switchover: the status that each server reported, and the commands and promotions with their results; `unreachable server presumed to be primary`: no VM knows the primary, and backend_server alone does not answer; `steward row is written again`: it could not be decoded; `bound_ID`: the position beyond which the server took part in no acknowledgement; `leaving server is retired`: it stays paused until it ends, received is its bound; `no replica that stays has the log of the leaving server`: it is not retired"},
	{"evacuation", "failure_domain, domains, store_version, took_ms, silent", "the operator demanded or withdrew the evacuation of a failure domain; this VM sends nothing to the evacuated domains any more (took_ms: after it learned of the last change); all VMs confirmed, of which silent VMs or cells are unreachable and hold no valid proof of the configuration; the confirmation was removed, or could not be read or written; the domain is unknown"},
	{"caller_closed", "reason, remote, held_bytes, completed, stalled_ms, used_bytes, connections", "a caller's connection was closed because of a limit; reason: `memory` or `connections`: callers had used up theirs, and this connection held most and had moved least; `message_timeout`, `write_timeout`: a message was not completed, or an answer not read, in time; `too_large`: a message exceeded the protocol's limit, or more than one connection may hold; completed: messages and answers until then; stalled_ms: since the last one, or since the present one began; used_bytes, connections: of all callers"},
	{"answer", "reason, group, backend_server, due, came, statements_ago, time_limits, answered", "an answer of a backend server did not belong to the statement that was due on its connection (the first one of each connection; `answers.REASON` counts all); reason: `repeated`: the server had answered an earlier statement with it, statements_ago answers before; `unsigned`, `state`, `rows`: it answers another command; `refusal`: an error that may be a repeat was followed by another answer; `unproved`: so may the success behind such an error; `unknown_signature`: it answers a statement that was not due; `unsolicited`: nothing was due, and came names the message that waits: `input row`, `input success`, `input error`, `input ready`, or `input other`, which is no message: part of another one; `overlapping`: two users of one connection; time_limits: waits on the connection that had ended without an answer, after which answers are late: 0 shows that the server repeats answers; answered: answers before"},
	{"message", "reason, remote, bytes, early, error", "a caller's message could not be served (the first one of each connection, at most one a second; `messages.callers.malformed` counts all), or an answer could not be sent; reason: `not_a_query`, `unknown_statement`; bytes: its size; early: it began to arrive before the answer to the request before was written, which callers do not do: a message may have been split"},
	{"statement", "id, customer, database, group, took_ms, config_version, config_age_ms, kind, cause", "a statement was rejected or failed, with the cause; also one of every 256 served statements"},
	{"log_lines_dropped", "count", "log lines were dropped because the queue was full"},
}

// Markdown returns the table of events that docs/EVENTS.md must contain.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| event | keys | meaning |\n|---|---|---|\n")
	for _, e := range Events {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", e.Name, e.Keys, e.Meaning)
	}
	return b.String()
}
