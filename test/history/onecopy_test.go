package history

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// action is a kind of statement in the differential test.
type action string

// The actions. A pair is two inserts in one message, which form one transaction; a move
// changes a row's key; a roam reconnects through another proxy.
const (
	actInsert    action = "insert"
	actPair      action = "pair"
	actUpdate    action = "update"
	actMove      action = "move"
	actDelete    action = "delete"
	actSelect    action = "select"
	actCount     action = "count"
	actBegin     action = "begin"
	actCommit    action = "commit"
	actRollback  action = "rollback"
	actReconnect action = "roam"
)

// statement is one step of a sequential history.
type statement struct {
	act  action
	k, v int64
	// simple selects the simple query protocol instead of a prepared statement.
	simple bool
	// proxy and aged select the proxy and the route of a reconnect.
	proxy int
	aged  bool
}

// String implements fmt.Stringer.
func (s statement) String() string {
	return fmt.Sprintf("%s k=%d v=%d simple=%t proxy=%d aged=%t", s.act, s.k, s.v, s.simple, s.proxy, s.aged)
}

// The model's error answers: unique violation, and statement in a failed transaction.
const (
	answerUnique  = "error 23505"
	answerAborted = "error 25P02"
)

// oneCopy is the model: a single copy of the table in memory, used by one caller.
// openRows is the table as the open transaction sees it, nil without one.
type oneCopy struct {
	rows     map[int64]int64
	openRows map[int64]int64
	failed   bool
	// keepsRolledBack makes the model keep rolled-back rows, a fault that the comparison
	// must detect.
	keepsRolledBack bool
}

// status returns the transaction status as the wire protocol reports it.
func (m oneCopy) status() byte {
	switch {
	case m.failed:
		return 'E'
	case m.openRows != nil:
		return 'T'
	}
	return 'I'
}

// isApplicable reports whether the statement is valid in the model's transaction state.
// Other statements are skipped.
func (m oneCopy) isApplicable(s statement) bool {
	switch s.act {
	case actBegin:
		return m.openRows == nil
	case actCommit, actRollback:
		return m.openRows != nil
	}
	return true
}

// disconnect returns the model after the connection ended: an open transaction is rolled
// back.
func (m oneCopy) disconnect() oneCopy {
	m.openRows, m.failed = nil, false
	return m
}

// run returns the answer to the statement and the model after it.
func (m oneCopy) run(s statement) (string, oneCopy) {
	switch s.act {
	case actReconnect:
		return "", m.disconnect()
	case actBegin:
		m.openRows = maps.Clone(m.rows)
		return "BEGIN", m
	case actCommit, actRollback:
		return m.endTransaction(s.act == actCommit)
	}
	if m.failed {
		return answerAborted, m
	}
	rows := m.rows
	if m.openRows != nil {
		rows = m.openRows
	}
	answer, after := applyStatement(maps.Clone(rows), s)
	switch {
	case answer == answerUnique:
		m.failed = m.openRows != nil
	case m.openRows != nil:
		m.openRows = after
	default:
		m.rows = after
	}
	return answer, m
}

// endTransaction returns the answer to COMMIT or ROLLBACK and the model after it. COMMIT
// of a failed transaction rolls it back.
func (m oneCopy) endTransaction(commit bool) (string, oneCopy) {
	answer := "ROLLBACK"
	if commit && !m.failed {
		answer = "COMMIT"
	}
	if answer == "COMMIT" || m.keepsRolledBack {
		m.rows = m.openRows
	}
	return answer, m.disconnect()
}

// applyStatement runs a statement on the rows, which it may modify, and returns the
// answer and the rows after it.
func applyStatement(rows map[int64]int64, s statement) (string, map[int64]int64) {
	_, found := rows[s.k]
	switch s.act {
	case actInsert:
		if found {
			return answerUnique, nil
		}
		rows[s.k] = s.v
		return "INSERT 0 1", rows
	case actPair:
		if _, taken := rows[s.v]; found || taken || s.k == s.v {
			return answerUnique, nil
		}
		rows[s.k], rows[s.v] = s.v, s.k
		return "INSERT 0 1;INSERT 0 1", rows
	case actUpdate:
		if found {
			rows[s.k] += s.v
		}
		return commandTag("UPDATE", found), rows
	case actMove:
		return moveRow(rows, s.k, s.v)
	case actDelete:
		delete(rows, s.k)
		return commandTag("DELETE", found), rows
	case actCount:
		return fmt.Sprintf("[%d] SELECT 1", len(rows)), rows
	}
	return selectFrom(rows, s.k), rows
}

func moveRow(rows map[int64]int64, from, to int64) (string, map[int64]int64) {
	v, found := rows[from]
	if !found || from == to {
		return commandTag("UPDATE", found), rows
	}
	if _, taken := rows[to]; taken {
		return answerUnique, nil
	}
	delete(rows, from)
	rows[to] = v
	return commandTag("UPDATE", true), rows
}

func commandTag(verb string, found bool) string {
	if found {
		return verb + " 1"
	}
	return verb + " 0"
}

// selectFrom returns the answer to a SELECT of the rows whose key is at least from.
func selectFrom(rows map[int64]int64, from int64) string {
	var b strings.Builder
	count := 0
	for _, k := range slices.Sorted(maps.Keys(rows)) {
		if k >= from {
			fmt.Fprintf(&b, "[%d %d] ", k, rows[k])
			count++
		}
	}
	return fmt.Sprintf("%sSELECT %d", b.String(), count)
}
