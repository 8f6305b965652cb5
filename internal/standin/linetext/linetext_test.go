package linetext

import (
	"strconv"
	"strings"
	"testing"
)

const (
	// draws is large enough for each kind of text to occur.
	draws = 20000
	// maxKept bounds the texts that are not long.
	maxKept = 300
)

func TestTextsFitIntoTheirFields(t *testing.T) {
	s := New(1, 1, Mix{OddPercent: 50})
	seen := map[string]int{}
	for n := range draws {
		last, inner, kept := s.Last(n), s.Inner("label"), s.Kept(n)
		if strings.Contains(kept, "\r\n") || !strings.Contains(kept, strconv.Itoa(n)) || len(kept) > maxKept {
			t.Fatalf("kept text %d of %d bytes: %.200q", n, len(kept), kept)
		}
		if strings.Contains(last, "\r\n") || last != "" && !strings.Contains(last, strconv.Itoa(n)) || len(last) > MaxText {
			t.Fatalf("last field %d of %d bytes: %.200q", n, len(last), last)
		}
		if strings.Contains(inner, "\r\n") || strings.Contains(inner, " ") || !strings.Contains(inner, "label") || len(inner) > maxKept {
			t.Fatalf("inner field: %.200q", inner)
		}
		for kind, is := range map[string]bool{
			"plain": last == strconv.Itoa(n), "empty": last == "", "long": len(last) > minLong, "largest": len(last) > MaxText-2*minLong,
			"line feeds": strings.Count(last, "\n") > 8000, "LF first": strings.HasPrefix(last, "\n"), "LF last": strings.HasSuffix(last, "\n"),
			"CR last": strings.HasSuffix(last, "\r"), "blank first": strings.HasPrefix(last, " "), "blank last": strings.HasSuffix(last, " "),
			"LF in an inner field": strings.Contains(inner, "\n"), "statement": strings.Contains(last, "\nQUERY 77 "),
		} {
			if is {
				seen[kind]++
			}
		}
	}
	if len(seen) != 12 {
		t.Errorf("only these kinds of text occur: %v", seen)
	}
}

func TestTextsAreDeterminedByTheirSeed(t *testing.T) {
	a, b, other := New(1, 2, Mix{OddPercent: 50}), New(1, 2, Mix{OddPercent: 50}), New(1, 3, Mix{OddPercent: 50})
	same, different := true, false
	for n := range draws / 10 {
		x, y, z := a.Last(n), b.Last(n), other.Last(n)
		same, different = same && x == y, different || x != z
	}
	if !same || !different {
		t.Errorf("same seed gives the same texts: %t, another seed others: %t", same, different)
	}
}

func TestNoLineFeedsUnlessInTheMix(t *testing.T) {
	s := New(1, 1, Mix{OddPercent: 50, WithoutLineFeeds: true})
	for n := range draws {
		for _, text := range []string{s.Last(n), s.Inner("label"), s.Kept(n)} {
			if strings.ContainsAny(text, "\n") {
				t.Fatalf("%.200q", text)
			}
		}
	}
}

func TestNoOddTextsUnlessAskedFor(t *testing.T) {
	s := New(1, 1, Mix{OddPercent: 0})
	for n := range draws {
		if last, inner, kept := s.Last(n), s.Inner("label"), s.Kept(n); last != strconv.Itoa(n) || inner != "label" || kept != last {
			t.Fatalf("%q, %q, %q", last, inner, kept)
		}
	}
}
