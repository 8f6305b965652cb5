package session

import (
	"strconv"
	"strings"
	"testing"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// counter is a Memory that counts, with a limit.
type counter struct{ used, limit int64 }

func (c *counter) Reserve(n int64) error {
	if c.used+n > c.limit {
		return errkind.New(errkind.QueueFull, "fake")
	}
	c.used += n
	return nil
}

func (c *counter) Release(n int64) { c.used -= n }

// Guards against session values and prepared statements whose number alone is bounded, and
// against sizes that are counted twice or not given back.
func TestSizeOfTheSessionStateIsBounded(t *testing.T) {
	m := &counter{limit: 150}
	s := &Session{core: &Core{MaxStateBytes: 100}}
	s.AccountTo(m)
	value := strings.Repeat("x", 59)
	for i, c := range []struct {
		st   statement.Statement
		kind errkind.Kind
		ok   bool
		used int64
	}{
		{st: statement.Statement{Op: statement.Set, Name: "a", Value: value}, ok: true, used: 60},
		{st: statement.Statement{Op: statement.Set, Name: "a", Value: value}, ok: true, used: 60},
		{st: statement.Statement{Op: statement.Prepare, Name: "b", Value: value}, kind: errkind.MessageTooLarge, used: 60},
		{st: statement.Statement{Op: statement.Set, Name: "a", Value: ""}, ok: true, used: 1},
		{st: statement.Statement{Op: statement.Prepare, Name: "b", Value: value}, ok: true, used: 61},
		{st: statement.Statement{Op: statement.Deallocate, Name: "c"}, ok: true, used: 61},
		{st: statement.Statement{Op: statement.Deallocate, Name: "b"}, ok: true, used: 1},
	} {
		r := s.Handle(c.st)
		if (r.Err == nil) != c.ok || !c.ok && errkind.KindOf(r.Err) != c.kind || m.used != c.used {
			t.Errorf("statement %d: %v, %d bytes are used", i, r.Err, m.used)
		}
	}
	m.limit = 1
	if r := s.Handle(statement.Statement{Op: statement.Set, Name: "d", Value: value}); !errkind.Is(r.Err, errkind.QueueFull) {
		t.Errorf("without memory: %v", r.Err)
	}
	if s.Close(); m.used != 0 {
		t.Errorf("%d bytes are used after the end of the session", m.used)
	}
}

// Guards against statements that fit into a message of their caller and not into that to a backend
// server, where a new name or a position makes them longer.
func TestStatementsThatGrowTooLongAreNotSent(t *testing.T) {
	const most = 100
	for _, c := range []struct {
		what  string
		inTx  bool
		st    statement.Statement
		sizes [2]int // that fits, and that does not
	}{
		{"read", false, statement.Statement{Op: statement.Read}, [2]int{most - 40, most}},
		{"read in a transaction", true, statement.Statement{Op: statement.Read}, [2]int{most, 0}},
		{"write", false, statement.Statement{Op: statement.Write}, [2]int{most, 0}},
		{"execute", false, statement.Statement{Op: statement.Execute, Name: "w"}, [2]int{most - 33, most - 32}},
		{"execute in a transaction", true, statement.Statement{Op: statement.Execute, Name: "r"}, [2]int{most - 33, most - 32}},
		{"prepare", false, statement.Statement{Op: statement.Prepare}, [2]int{most - 33, most - 32}},
	} {
		for i, size := range c.sizes {
			s, _, server := newSession(t)
			s.core.Fits = func(c statement.Command) bool {
				size := len(c.Text)
				if !c.After.IsZero() {
					size += len("18446744073709551615") * 2
				}
				return size <= most
			}
			s.Handle(statement.Statement{Op: statement.Prepare, Name: "w", Value: "shape"})
			s.Handle(statement.Statement{Op: statement.Prepare, Name: "r", Value: "shape", ReadOnly: true})
			if c.inTx {
				s.Handle(statement.Statement{ID: "0", Op: statement.Begin})
			}
			st := c.st
			text := strings.Repeat("x", size)
			st.ID, st.Text, st.Value, st.Args = "1", text, text, text
			r := s.Handle(st)
			if i == 1 && size > 0 && (!errkind.Is(r.Err, errkind.MessageTooLarge) || len(server.ids) > 0) || i == 0 && errkind.Is(r.Err, errkind.MessageTooLarge) {
				t.Errorf("%s of %d bytes: %v, sent %v", c.what, size, r.Err, server.ids)
			}
		}
	}
}

// Guards against an empty session value that counts as absent.
func TestEmptyValueCanBeChangedAtTheLimit(t *testing.T) {
	s := &Session{core: &Core{}}
	for i := range maxNames {
		if r := s.Handle(statement.Statement{Op: statement.Set, Name: strconv.Itoa(i)}); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	if r := s.Handle(statement.Statement{Op: statement.Set, Name: "0", Value: "x"}); r.Err != nil || s.values["0"] != "x" {
		t.Errorf("%v, value %q", r.Err, s.values["0"])
	}
	if r := s.Handle(statement.Statement{Op: statement.Set, Name: "new"}); !errkind.Is(r.Err, errkind.MessageTooLarge) {
		t.Errorf("one value too many: %v", r.Err)
	}
}
