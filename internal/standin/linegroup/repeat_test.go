package linegroup

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"chicoryline/internal/standin/linewire"
)

// exchangeLines sends the lines to the server in one write and returns the next answers of the
// given number, each as one line.
func exchangeLines(t *testing.T, s *Server, answers int, lines ...string) []string {
	t.Helper()
	c, err := net.Dial("tcp4", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "STARTUP g x\r\n%s\r\n", strings.Join(lines, "\r\n")); err != nil {
		t.Fatal(err)
	}
	var got []string
	answer := ""
	for r := linewire.NewReader(c); len(got) <= answers; {
		line, err := r.Next()
		if err != nil {
			t.Fatalf("%v after %q", err, got)
		}
		answer += line + ";"
		if strings.HasPrefix(line, "READY") {
			got, answer = append(got, answer), ""
		}
	}
	return got[1:]
}

func TestSelectedAnswersAreRepeatedUnchanged(t *testing.T) {
	g := start(t, 2)
	s := g.Primary()
	s.RepeatAnswers(func(id, _ string) bool { return id != "w" }, func() time.Duration { return 20 * time.Millisecond })
	got := exchangeLines(t, s, 9, "QUERY a WRITE x 1", "QUERY w READ x", "QUERY - BEGIN", "QUERY - STATUS", "QUERY b DROP x")
	once := []string{
		"COMPLETE a/;READY I 1.1;", "DATAROW 1;COMPLETE w/;READY I 1.1;", "COMPLETE -;READY T 1.1;",
		"DATAROW primary 1 1.1 0 0 0 1;COMPLETE -;READY T 1.1;", "ERROR MALFORMED g-s0;READY T 1.1;",
	}
	want := slices.Concat(once, once[:1], once[2:])
	// Repeats may overtake each other.
	slices.Sort(got)
	slices.Sort(want)
	check(t, "answers", strings.Join(got, " "), strings.Join(want, " "))
}

func TestHeldRepeatsComeBeforeTheAnswerOfTheReleasingStatement(t *testing.T) {
	g := start(t, 2)
	s := g.Primary()
	s.HoldRepeats(func(id, _ string) bool { return id == "a" }, func(_, text string) bool { return text == "COMMIT" })
	s.RefuseStatements(func(id, _ string) bool { return id == "a" })
	got := exchangeLines(t, s, 5, "QUERY a WRITE x 1", "QUERY - BEGIN", "QUERY b WRITE x 2", "QUERY c COMMIT")
	check(t, "answers", strings.Join(got, " "), "ERROR BUSY g-s0;READY I 1.0; COMPLETE -;READY T 1.0; COMPLETE b/;READY T 1.0; "+
		"ERROR BUSY g-s0;READY I 1.0; COMPLETE c/;READY I 1.1;")
}
