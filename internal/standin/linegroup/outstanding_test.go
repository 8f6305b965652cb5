package linegroup

import (
	"strings"
	"testing"

	"chicoryline/internal/standin/lineclient"
)

// Each answer below differs from that of its statement by a few bytes.
func TestAnswersAreComparedByteForByte(t *testing.T) {
	const row = " x\nCOMPLETE forged\r"
	values := map[string]string{"a": "1,b=2", "\x00": "\n"}
	for _, c := range []struct {
		name, text string
		answer     lineclient.Answer
		want       string
	}{
		{"own row", "READ i", lineclient.Answer{Rows: []string{row}, Signature: signature("1", values)}, ""},
		{"own row of a prepared statement", "EXECUTE r i", lineclient.Answer{Rows: []string{row}, Signature: signature("1", values)}, ""},
		{"prepared write with blanks", "EXECUTE w i  ", lineclient.Answer{Signature: signature("1", values)}, ""},
		{"prepared write of nothing", "EXECUTE w i ", lineclient.Answer{Signature: signature("1", values)}, ""},
		{"cut row", "READ i", lineclient.Answer{Rows: []string{" x"}, Signature: signature("1", values)}, "wrong-row"},
		{"trimmed row", "READ i", lineclient.Answer{Rows: []string{strings.TrimSpace(row)}, Signature: signature("1", values)}, "wrong-row"},
		{"two rows", "READ i", lineclient.Answer{Rows: []string{row, row}, Signature: signature("1", values)}, "wrong-rows"},
		{"forged signature", "WRITE i x", lineclient.Answer{Signature: "forged"}, "wrong-signature"},
		{"signature of other values", "WRITE i x", lineclient.Answer{Signature: signature("1", map[string]string{"a": "1", "b": "2", "\x00": "\n"})}, "wrong-signature"},
		{"row of a write", "EXECUTE w i x", lineclient.Answer{Rows: []string{""}, Signature: signature("1", values)}, "wrong-rows"},
	} {
		o, session := NewOutstanding(), &lineclient.Client{}
		for i, text := range []string{"SET a 1,b=2", "SET \x00 \n", "PARSE r READ s", "PARSE w WRITE s"} {
			id := "s" + string(rune('0'+i))
			o.Sent(session, id, text)
			o.Answered(id, lineclient.Answer{State: "I"})
		}
		o.Sent(session, "1", c.text)
		o.recordRow("1", row)
		o.Answered("1", c.answer)
		got, _, _ := strings.Cut(strings.Join(o.Violations(), "\n"), ":")
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, o.Violations(), c.want)
		}
	}
}

// Each statement below differs from the one that its caller sent by a few bytes.
func TestStatementsAreComparedByteForByte(t *testing.T) {
	for _, c := range []struct{ name, sent, ran, shape, want string }{
		{"same text", "WRITE i \n x\r", "WRITE i \n x\r", "", ""},
		{"renamed prepared statement", "EXECUTE w\n i \n x", "EXECUTE p1 i \n x", "WRITE a  b", ""},
		{"cut at a line feed", "WRITE i x\ny", "WRITE i x", "", "changed-text"},
		{"without the last CR", "WRITE i x\r", "WRITE i x", "", "changed-text"},
		{"without the last blank", "WRITE i x ", "WRITE i x", "", "changed-text"},
		{"without the first blank", "EXECUTE w\n i  x", "EXECUTE p1 i x", "WRITE a  b", "changed-text"},
		{"another shape", "EXECUTE w\n i x", "EXECUTE p2 i x", "WRITE a b", "other-shape"},
	} {
		o, session := NewOutstanding(), &lineclient.Client{}
		o.Sent(session, "0", "PARSE w\n WRITE a  b")
		o.Answered("0", lineclient.Answer{State: "I"})
		o.Sent(session, "1", c.sent)
		got, _, _ := strings.Cut(o.checkRun(&conn{server: &Server{ID: "s"}}, "1", c.ran, c.shape, false, true), ":")
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
