package platform_test

import (
	"fmt"
	"strings"
	"testing"

	"chicoryline/internal/standin/linegroup"
)

// lineFeedTexts are values of a last field that hold lone line feeds. Only CR LF ends a message.
var lineFeedTexts = map[string]string{
	"alone":            "\n",
	"first":            "\nx",
	"last":             "x\n",
	"in the middle":    "x\ny",
	"twice":            "x\n\ny \n",
	"LF CR":            "x\n\ry",
	"forged answer":    "x\nCOMPLETE forged\nREADY I -",
	"forged row":       "x\nDATAROW y",
	"forged statement": "x\nQUERY 77 WRITE forged y",
	"end of session":   "x\nTERMINATE",
	"800 KB":           strings.Repeat("\n", 800_000),
}

// otherTexts are values of a last field with other unusual bytes.
var otherTexts = map[string]string{
	"empty":           "",
	"blank":           " ",
	"blanks at ends":  "  x y  ",
	"CR last":         "x\r",
	"CR first":        "\rx",
	"only CR":         "\r\r",
	"forged with CR":  "x\rCOMPLETE forged\rREADY I -",
	"not UTF-8":       "\x00\xff\xfe\x7f",
	"other separator": "a\tb\vc\fd\u0085e\u2028f",
	"800 KB of CR":    strings.Repeat("\r", 800_000),
}

// exchange is a statement of a caller and the row that it is to return, if it is a read.
type exchange struct{ text, row string }

// statementsWith returns the statements of a session for each place that takes any bytes; name is
// that of an item of their own.
func statementsWith(text, name string) map[string][]exchange {
	return map[string][]exchange{
		"data":     {{"WRITE " + name + "1 " + text, ""}, {"READ " + name + "1", text}},
		"item":     {{"READ " + name + text, ""}},
		"value":    {{"SET v " + text, ""}, {"WRITE " + name + "2 1", ""}, {"READ " + name + "2", "1"}},
		"shape":    {{"PARSE s READ q" + text, ""}, {"EXECUTE s " + name + "3", ""}},
		"argument": {{"PARSE s WRITE q", ""}, {"PARSE r READ q", ""}, {"EXECUTE s " + name + "4 " + text, ""}, {"EXECUTE r " + name + "4", text}},
		"transaction": {{"BEGIN", ""}, {"WRITE " + name + "5 " + text, ""}, {"READ " + name + "5", text}, {"COMMIT", ""},
			{"BEGIN READ", ""}, {"READ " + name + "5", text}, {"ROLLBACK", ""}},
	}
}

// converse sends the statements on a session of their own and fails the test unless each succeeds
// with its row, the session stays open and nothing else arrives.
func (f *fleet) converse(t *testing.T, route string, id func() string, statements []exchange) {
	t.Helper()
	c, err := f.open(0, route, "key-large")
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	for _, s := range append(statements, exchange{"READ untouched", ""}) {
		a, err := c.Query(id(), s.text)
		switch {
		case err != nil:
			t.Errorf("%.60q: %v", s.text, err)
			return
		case a.Code != "":
			t.Errorf("%.60q: %s %s", s.text, a.Code, a.Text)
			return
		case len(a.Rows) > 1 || strings.Join(a.Rows, "") != s.row:
			t.Errorf("%.60q returned %.60q, want %.60q", s.text, a.Rows, s.row)
		}
	}
	if err := c.Unsolicited(); err != nil {
		t.Errorf("after the last answer: %v", err)
	}
}

// testStatements sends each text at each place of a statement. The fleet checks that servers run
// just what was sent.
func testStatements(t *testing.T, texts map[string]string) {
	f := start(t)
	n := 0
	for name, text := range texts {
		n++
		item := fmt.Sprintf("item%d-", n)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for place, statements := range statementsWith(text, item) {
				t.Run(place, func(t *testing.T) { f.converse(t, "own-0", f.newID, statements) })
			}
		})
	}
}

// testRows reads each text as a row that was written by others, on each kind of route.
func testRows(t *testing.T, texts map[string]string) {
	f := start(t)
	n := 0
	for name, text := range texts {
		n++
		item := fmt.Sprint("row", n)
		if !f.Groups[0].Commit(linegroup.Write{ID: "direct" + item, Item: item, Data: text}) {
			t.Fatal("not committed")
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			read := exchange{"READ " + item, text}
			for _, route := range []string{"current-0", "own-0"} {
				t.Run(route, func(t *testing.T) {
					f.converse(t, route, f.newID, []exchange{read, {"PARSE r READ q", ""}, {"EXECUTE r " + item, text}})
					f.converse(t, route, f.newID, []exchange{{"BEGIN READ", ""}, read, {"COMMIT", ""}})
				})
			}
		})
	}
}

// Messages of callers ended at the first line feed inside a statement: the rest ran as a statement
// of its own.
func TestLineFeedInsideAStatementDoesNotEndIt(t *testing.T) { testStatements(t, lineFeedTexts) }

// Answers of servers ended at the first line feed inside a row: the rest was taken for the next
// message, such as a signature that no server gave.
func TestLineFeedInsideARowDoesNotEndIt(t *testing.T) { testRows(t, lineFeedTexts) }

// A line feed may also be part of an id.
func TestLineFeedInsideAnIDDoesNotEndIt(t *testing.T) {
	f := start(t, oneVM)
	id := func() string { return f.newID() + "\nx" }
	f.converse(t, "own-0", id, []exchange{{"WRITE item 1", ""}, {"READ item", "1"}, {"BEGIN", ""}, {"WRITE item 2", ""}, {"COMMIT", ""}})
}

func TestStatementsKeepUnusualBytes(t *testing.T) { testStatements(t, otherTexts) }

func TestRowsKeepUnusualBytes(t *testing.T) { testRows(t, otherTexts) }
