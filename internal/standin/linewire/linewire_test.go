package linewire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

// cutReader returns pieces of the text whose lengths are taken from cuts in turn.
type cutReader struct {
	text string
	cuts []byte
	next int
}

func (r *cutReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := 1
	if len(r.cuts) > 0 {
		n = int(r.cuts[r.next%len(r.cuts)])
		r.next++
	}
	n = copy(b, r.text[:min(n, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

func readAll(source io.Reader) (messages []string, err error) {
	for r := NewReader(source); ; {
		m, err := r.Next()
		if err != nil {
			return messages, err
		}
		messages = append(messages, m)
	}
}

func TestMessagesEndAtCRLFAlone(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		want        []string
		err         error
	}{
		{"nothing", "", nil, io.EOF},
		{"empty message", "\r\n", []string{""}, io.EOF},
		{"two messages", "A 1\r\nB\r\n", []string{"A 1", "B"}, io.EOF},
		{"lone LF", "A \nB\n\n\r\nC\r\n", []string{"A \nB\n\n", "C"}, io.EOF},
		{"lone CR", "A \rB\r \r\nC\r\n", []string{"A \rB\r ", "C"}, io.EOF},
		{"LF CR", "A \n\rB\r\n", []string{"A \n\rB"}, io.EOF},
		{"CR in front of CR LF", "A x\r\r\nB\r\r\r\n", []string{"A x\r", "B\r\r"}, io.EOF},
		{"LF behind CR LF", "A\r\n\nB\r\n", []string{"A", "\nB"}, io.EOF},
		{"blanks", " A  x \r\n", []string{" A  x "}, io.EOF},
		{"other bytes", "A \x00\xff\u2028\v\f\t\r\n", []string{"A \x00\xff\u2028\v\f\t"}, io.EOF},
		{"ended by LF", "A\r\nB\n", []string{"A"}, io.ErrUnexpectedEOF},
		{"ended by CR", "A\r\nB\r", []string{"A"}, io.ErrUnexpectedEOF},
	} {
		for _, cuts := range [][]byte{{1}, {2}, {3, 1}, {255}} {
			got, err := readAll(&cutReader{text: c.bytes, cuts: cuts})
			if diff := cmp.Diff(c.want, got); diff != "" || err != c.err {
				t.Errorf("%s in pieces of %v: %v, want %v; %s", c.name, cuts, err, c.err, diff)
			}
		}
	}
}

func TestMessagesUpTo1MiB(t *testing.T) {
	largest := strings.Repeat("\n\n\r ", MaxMessage/4)
	for _, c := range []struct {
		name, bytes string
		want        int
		err         error
	}{
		{"largest", largest + "\r\nA\r\n", 2, io.EOF},
		{"one byte more", largest + "x\r\nA\r\n", 0, ErrTooLong},
		{"one CR more", largest + "\r\r\n", 0, ErrTooLong},
		{"without an end", largest + largest, 0, ErrTooLong},
	} {
		for _, source := range []io.Reader{strings.NewReader(c.bytes), iotest.OneByteReader(strings.NewReader(c.bytes))} {
			r := NewReader(source)
			got, err := 0, error(nil)
			for {
				if _, err = r.Next(); err != nil {
					break
				}
				got++
			}
			if got != c.want || err != c.err {
				t.Errorf("%s: %d messages and %v, want %d and %v", c.name, got, err, c.want, c.err)
			}
			if _, again := r.Next(); again != c.err {
				t.Errorf("%s: %v the second time, want %v", c.name, again, c.err)
			}
		}
	}
}

func TestReadingGoesOnAfterATimeout(t *testing.T) {
	r := NewReader(iotest.TimeoutReader(iotest.HalfReader(strings.NewReader(strings.Repeat("x", 2*readSize) + "\r\n"))))
	for timeouts := 0; ; timeouts++ {
		m, err := r.Next()
		if errors.Is(err, iotest.ErrTimeout) {
			continue
		}
		if err != nil || len(m) != 2*readSize || timeouts != 1 {
			t.Errorf("%d bytes, %v, %d timeouts", len(m), err, timeouts)
		}
		return
	}
}

func TestSplit(t *testing.T) {
	for _, c := range []struct {
		message string
		n       int
		word    string
		fields  []string
	}{
		{"TERMINATE", 2, "TERMINATE", []string{}},
		{"DATAROW ", 1, "DATAROW", []string{""}},
		{"DATAROW  a b ", 1, "DATAROW", []string{" a b "}},
		{"DATAROW \nREADY I -", 1, "DATAROW", []string{"\nREADY I -"}},
		{"QUERY 1 READ x", 2, "QUERY", []string{"1", "READ x"}},
		{"QUERY 1", 2, "QUERY", []string{"1"}},
		{"QUERY  1 x", 2, "QUERY", []string{"", "1 x"}},
		{"QUERY\tid\nx text", 2, "QUERY\tid\nx", []string{"text"}},
		{"STARTUP s tenant id more", 3, "STARTUP", []string{"s", "tenant", "id more"}},
		{"", 2, "", []string{}},
	} {
		word, fields := Split(c.message, c.n)
		if diff := cmp.Diff(c.fields, fields); diff != "" || word != c.word {
			t.Errorf("%q: word %q, want %q; %s", c.message, word, c.word, diff)
		}
	}
}

func TestUnsendableMessages(t *testing.T) {
	long := strings.Repeat("x", MaxMessage-2)
	for _, c := range []struct {
		name  string
		parts []string
		err   error
	}{
		{"word with a blank", []string{"A B"}, ErrUnsendable},
		{"no word", []string{"", "x"}, ErrUnsendable},
		{"CR LF in the word", []string{"A\r\nB", "x"}, ErrUnsendable},
		{"empty inner field", []string{"A", "", "x"}, ErrUnsendable},
		{"blank in an inner field", []string{"A", "x y", "z"}, ErrUnsendable},
		{"CR LF in an inner field", []string{"A", "x\r\ny", "z"}, ErrUnsendable},
		{"CR LF in the last field", []string{"A", "x\r\nQUERY 9 WRITE k v"}, ErrUnsendable},
		{"CR LF at the end", []string{"A", "x\r\n"}, ErrUnsendable},
		{"largest", []string{"A", long}, nil},
		{"too long", []string{"A", long + "x"}, ErrTooLong},
	} {
		b, err := Append([]byte("before"), c.parts[0], c.parts[1:]...)
		if !errors.Is(err, c.err) || err != nil && string(b) != "before" {
			t.Errorf("%s: %v and %d bytes, want %v", c.name, err, len(b), c.err)
		}
	}
	if _, err := AppendLine(nil, "A\r\nB"); !errors.Is(err, ErrUnsendable) {
		t.Errorf("two lines: %v", err)
	}
}

// Messages that Append accepts are read back unchanged, however the bytes are cut.
func FuzzMessagesAreReadBack(f *testing.F) {
	for _, field := range []string{"", " ", "x", "\n", "\r", "x\r", "\nCOMPLETE forged\nREADY I -", "a \r\r \n\n b ", "\r\n", "\x00\xff"} {
		for _, cuts := range []string{"", "\x01", "\x02\x05", "\xff"} {
			f.Add("QUERY", "id", field, []byte(cuts))
			f.Add(field, field, "x", []byte(cuts))
		}
	}
	f.Fuzz(func(t *testing.T, word, inner, last string, cuts []byte) {
		messages := [][]string{{word, inner, last}, {word, last}, {word}, {word, inner + "\n", last + "\r"}}
		var b []byte
		var want [][]string
		for _, m := range messages {
			var err error
			n := len(b)
			if b, err = Append(b, m[0], m[1:]...); err == nil {
				want = append(want, m)
			} else if len(b) != n {
				t.Fatalf("%q was refused with %v and written in part", m, err)
			}
		}
		for i := range cuts {
			cuts[i] = max(1, cuts[i])
		}
		got, err := readAll(&cutReader{text: string(b), cuts: cuts})
		if err != io.EOF || len(got) != len(want) {
			t.Fatalf("%d messages and %v, want %d: %q", len(got), err, len(want), got)
		}
		for i, m := range want {
			word, fields := Split(got[i], max(1, len(m)-1))
			if diff := cmp.Diff(m, append([]string{word}, fields...)); diff != "" {
				t.Error(diff)
			}
		}
	})
}
