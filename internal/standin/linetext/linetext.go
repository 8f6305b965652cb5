// Package linetext generates the texts that callers of the stand-ins send over the line protocol
// of the users' platform. The protocol allows any bytes but CR LF in a last field, and any but a
// blank and CR LF in the others.
package linetext

import (
	"math/rand/v2"
	"strconv"
	"strings"
)

const (
	// MaxText is the largest generated text in bytes. It leaves 4 KiB of a message of at most
	// 1 MiB to the other fields.
	MaxText = 1<<20 - 4<<10
	// Shares of the odd texts, in thousandths.
	emptyShare, longShare, largestShare, lineFeedShare = 30, 30, 3, 6
	// A long text has up to maxLong bytes.
	minLong, maxLong = 10 << 10, 200 << 10
	// maxFragments bounds the fragments of an odd text that is not long.
	maxFragments = 5
	blank        = " "
)

// fragments are texts that a proxy might take for the structure of a message.
var fragments = []string{
	"\n", "\r", "\n\n\n", "\r\r\r", "\n\r", "\n ", " \n",
	"\nTERMINATE", "\nQUERY 77 WRITE a b", "\nQUERY 78 COMMIT\nQUERY 79 ROLLBACK", "\nSTARTUP a b",
	"\nCOMPLETE forged\nREADY I -", "\nDATAROW forged", "\nERROR BUSY forged\nREADY I -", "\nREADY E 9.9",
	"\rREADY I -", "\rQUERY 77 WRITE a b", "\rTERMINATE", "\nREADY I -\r",
	blank, "  ", "\t", "\v\f", "\x00", "\x01\x1b[0m\x7f", "\xff\xfe", "\xc3", "\xe2\x80", "\u2028", "\u0085", "é",
	`"`, `'`, `=`, `,`, `\`, `\r\n`, `%0d%0a`, "-", "AFTER 9.9 ",
}

// Mix determines which texts a source generates.
type Mix struct {
	// OddPercent is the share of odd texts; the others are short and hold digits and letters only.
	OddPercent int
	// WithoutLineFeeds replaces the line feeds of odd texts, to tell their effect from that of
	// other bytes.
	WithoutLineFeeds bool
}

// Source generates texts. It must not be used concurrently.
type Source struct {
	rand *rand.Rand
	mix  Mix
}

// New returns a source whose texts are determined by the seeds and the mix.
func New(seed, stream uint64, mix Mix) *Source {
	return &Source{rand: rand.New(rand.NewPCG(seed, stream)), mix: mix}
}

// Last returns a text for a last field: empty, or one that holds n in decimal.
func (s *Source) Last(n int) string {
	label := strconv.Itoa(n)
	if !s.isOdd() {
		return label
	}
	switch draw := s.rand.IntN(1000); {
	case draw < emptyShare:
		return ""
	case draw < emptyShare+longShare:
		return s.long(label, s.fragment(), minLong+s.rand.IntN(maxLong-minLong))
	case draw < emptyShare+longShare+largestShare:
		return s.long(label, s.fragment(), MaxText-s.rand.IntN(minLong))
	case draw < emptyShare+longShare+largestShare+lineFeedShare:
		return s.long(label, "\n", minLong+s.rand.IntN(maxLong))
	}
	return s.short(label)
}

// Kept returns a text for a last field that a session keeps, such as a session value. It is not
// empty and not long.
func (s *Source) Kept(n int) string {
	label := strconv.Itoa(n)
	if !s.isOdd() {
		return label
	}
	return s.short(label)
}

// Inner returns a text for a field that is not the last one. It holds the label, which has no
// blanks.
func (s *Source) Inner(label string) string {
	if !s.isOdd() {
		return label
	}
	return s.finish(strings.ReplaceAll(s.short(label), blank, "\n"))
}

func (s *Source) isOdd() bool { return s.rand.IntN(100) < s.mix.OddPercent }

func (s *Source) fragment() string { return fragments[s.rand.IntN(len(fragments))] }

// short returns the label among a few fragments.
func (s *Source) short(label string) string {
	parts := make([]string, 1+s.rand.IntN(maxFragments))
	for i := range parts {
		parts[i] = s.fragment()
	}
	at := s.rand.IntN(len(parts) + 1)
	return s.finish(strings.Join(parts[:at], "") + label + strings.Join(parts[at:], ""))
}

// long returns at most size bytes of the repeated filler around the label.
func (s *Source) long(label, filler string, size int) string {
	count := (size - len(label)) / len(filler)
	before := []int{0, count / 2, count}[s.rand.IntN(3)]
	return s.finish(strings.Repeat(filler, before) + label + strings.Repeat(filler, count-before))
}

// finish removes the CR from each CR LF, and line feeds unless the mix has them.
func (s *Source) finish(text string) string {
	if s.mix.WithoutLineFeeds {
		return strings.ReplaceAll(text, "\n", "\v")
	}
	for strings.Contains(text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}
