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
	actInsert   action = "insert"
	actPair     action = "pair"
	actUpdate   action = "update"
	actMove     action = "move"
	actDelete   action = "delete"
	actSelect   action = "select"
	actCount    action = "count"
	actBegin    action = "begin"
	actCommit   action = "commit"
	actRollback action = "rollback"
	actRoam     action = "roam"
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
	rows   map[int64]int64
	open   map[int64]int64
	failed bool
	// keepsRolledBack is a fault of the model that the comparison must find.
	keepsRolledBack bool
}

// status is the transaction status as the protocol reports it.
func (m oneCopy) status() byte {
	switch {
	case m.failed:
		return 'E'
	case m.open != nil:
		return 'T'
	}
	return 'I'
}

// applies tells whether the statement is in place; others are left out.
func (m oneCopy) applies(s statement) bool {
	switch s.act {
	case actBegin:
		return m.open == nil
	case actCommit, actRollback:
		return m.open != nil
	}
	return true
}

// leave is the end of a connection: the open transaction is rolled back.
func (m oneCopy) leave() oneCopy {
	m.open, m.failed = nil, false
	return m
}

// run returns the answer to the statement and the model after it.
func (m oneCopy) run(s statement) (string, oneCopy) {
	switch s.act {
	case actRoam:
		return "", m.leave()
	case actBegin:
		m.open = maps.Clone(m.rows)
		return "BEGIN", m
	case actCommit, actRollback:
		return m.end(s.act == actCommit)
	}
	if m.failed {
		return answerAborted, m
	}
	rows := m.rows
	if m.open != nil {
		rows = m.open
	}
	answer, after := change(maps.Clone(rows), s)
	switch {
	case answer == answerUnique:
		m.failed = m.open != nil
	case m.open != nil:
		m.open = after
	default:
		m.rows = after
	}
	return answer, m
}

func (m oneCopy) end(commit bool) (string, oneCopy) {
	answer := "ROLLBACK"
	if commit && !m.failed {
		answer = "COMMIT"
	}
	if answer == "COMMIT" || m.keepsRolledBack {
		m.rows = m.open
	}
	return answer, m.leave()
}

// change runs a statement on rows that it may change.
func change(rows map[int64]int64, s statement) (string, map[int64]int64) {
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
		return tag("UPDATE", found), rows
	case actMove:
		return move(rows, s.k, s.v)
	case actDelete:
		delete(rows, s.k)
		return tag("DELETE", found), rows
	case actCount:
		return fmt.Sprintf("[%d] SELECT 1", len(rows)), rows
	}
	return list(rows, s.k), rows
}

func move(rows map[int64]int64, from, to int64) (string, map[int64]int64) {
	v, found := rows[from]
	if !found || from == to {
		return tag("UPDATE", found), rows
	}
	if _, taken := rows[to]; taken {
		return answerUnique, nil
	}
	delete(rows, from)
	rows[to] = v
	return tag("UPDATE", true), rows
}

func tag(verb string, found bool) string {
	if found {
		return verb + " 1"
	}
	return verb + " 0"
}

// list answers a select of the rows from the key on.
func list(rows map[int64]int64, from int64) string {
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
