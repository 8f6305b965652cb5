package history

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// action is a kind of statement of the differential test.
type action string

// The actions. A pair is two inserts in one message, which are one transaction.
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
	// simple chooses the simple protocol, else the statement is prepared.
	simple bool
	// proxy and aged choose where a roaming caller goes.
	proxy int
	aged  bool
}

// String implements fmt.Stringer.
func (s statement) String() string {
	return fmt.Sprintf("%s k=%d v=%d simple=%t proxy=%d aged=%t", s.act, s.k, s.v, s.simple, s.proxy, s.aged)
}

// The answers of the model that are no rows.
const (
	answerUnique  = "error 23505"
	answerAborted = "error 25P02"
)

// oneCopy is the model: one table in memory and one caller. open is the state
// of the open transaction, nil without one.
type oneCopy struct {
	rows     map[int64]int64
	openRows map[int64]int64
	failed   bool
	// keepsRolledBack is a fault of the model that the comparison must find.
	keepsRolledBack bool
}

// status is the transaction status as the protocol reports it.
func (m oneCopy) status() byte {
	switch {
	case m.failed:
		return 'E'
	case m.openRows != nil:
		return 'T'
	}
	return 'I'
}

// isApplicable tells whether the statement is in place; others are left out.
func (m oneCopy) isApplicable(s statement) bool {
	switch s.act {
	case actBegin:
		return m.openRows == nil
	case actCommit, actRollback:
		return m.openRows != nil
	}
	return true
}

// disconnect is the end of a connection: the open transaction is rolled back.
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

// applyStatement runs a statement on rows that it may change.
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

// selectFrom answers a select of the rows from the key on.
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
