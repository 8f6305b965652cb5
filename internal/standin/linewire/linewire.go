// Package linewire is the framing of the users' wire protocol in the stand-ins. It is written
// from the protocol page alone and shares no code with the proxy, so that a misreading of the
// page by one of the two shows in the tests of both.
//
// The page says: "A message consists of a kind and text fields, and is at most 1 MiB. A line
// consists of the word followed by the fields, separated by blanks and terminated by CR LF. The
// last field extends to the end of the line."
//
// A line therefore ends at the first CR LF and nowhere else. A CR or an LF on its own is part of
// a field like any other byte, also a CR directly in front of the CR LF. Each separator is a
// single blank. The last field may be empty and may hold blanks.
package linewire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// MaxMessage is the size limit of a message in bytes: "at most 1 MiB". The CR LF is not counted,
// as it terminates the message.
const MaxMessage = 1 << 20

// ErrTooLong is returned for a message above MaxMessage.
var ErrTooLong = errors.New("message is longer than 1 MiB")

// ErrUnsendable is wrapped by the errors of Append for words and fields that no line can carry.
var ErrUnsendable = errors.New("message cannot be sent")

const (
	terminator = "\r\n"
	blank      = " "
	// readSize is the size of a new buffer in bytes; larger messages double it.
	readSize = 8 << 10
	// maxEmptyReads is the number of reads without data or error after which a source is broken.
	maxEmptyReads = 100
)

// Reader splits the bytes of a source into messages.
type Reader struct {
	source io.Reader
	// buffer holds bytes that were read and not yet returned, searched the number of those that
	// are known not to start a terminator.
	buffer   []byte
	searched int
	tooLong  bool
}

// NewReader returns a reader of the messages of the source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next returns the next message without its CR LF. It returns io.EOF if the source ends between
// two messages, io.ErrUnexpectedEOF if it ends inside one, ErrTooLong, from then on always, if
// the message is longer than MaxMessage, and otherwise the error of the source. After an error of
// the source that is not its end, such as a timeout, Next may be called again.
func (r *Reader) Next() (string, error) {
	for !r.tooLong {
		if i := bytes.Index(r.buffer[r.searched:], []byte(terminator)); i >= 0 {
			end := r.searched + i
			if end > MaxMessage {
				break
			}
			message := string(r.buffer[:end])
			r.drop(end + len(terminator))
			return message, nil
		}
		// The last byte may be the CR of a terminator.
		r.searched = max(0, len(r.buffer)-1)
		if r.searched > MaxMessage {
			break
		}
		if err := r.fill(); err != nil {
			return "", err
		}
	}
	r.tooLong = true
	return "", ErrTooLong
}

// drop removes the first n bytes of the buffer.
func (r *Reader) drop(n int) {
	r.buffer, r.searched = r.buffer[n:], 0
	if len(r.buffer) == 0 {
		r.buffer = nil
	}
}

// fill reads at least one byte.
func (r *Reader) fill() error {
	for range maxEmptyReads {
		n := len(r.buffer)
		if cap(r.buffer) == n {
			r.buffer = append(make([]byte, 0, 2*n+readSize), r.buffer...)
		}
		got, err := r.source.Read(r.buffer[n:cap(r.buffer)])
		r.buffer = r.buffer[:n+got]
		switch {
		case got > 0:
			return nil // a lasting error is returned by the next read again
		case err == io.EOF && n > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return io.ErrNoProgress
}

// Buffered returns the number of bytes that were read from the source and not yet returned.
func (r *Reader) Buffered() int { return len(r.buffer) }

// Split returns the word of a message and at most n fields, fewer if the message has fewer: a
// message without a blank has none. "The last field extends to the end of the line": field n
// holds all that is left, blanks included. The texts of queries are split in the same way.
func Split(message string, n int) (word string, fields []string) {
	parts := strings.SplitN(message, blank, n+1)
	return parts[0], parts[1:]
}

// Append appends a message and its CR LF to b. It returns b unchanged and an error that wraps
// ErrUnsendable if the word or a field but the last is empty or holds a blank, or if any of them
// holds a CR LF; and ErrTooLong above MaxMessage. Every other message is read back as it is.
func Append(b []byte, word string, fields ...string) ([]byte, error) {
	parts := append([]string{word}, fields...)
	for i, part := range parts {
		inner := i == 0 || i < len(parts)-1
		if inner && (part == "" || strings.Contains(part, blank)) || strings.Contains(part, terminator) {
			return b, fmt.Errorf("%w: part %d of %.20q is %.80q", ErrUnsendable, i, word, part)
		}
	}
	return AppendLine(b, strings.Join(parts, blank))
}

// AppendLine appends a message that is already joined, and its CR LF, to b. It returns b unchanged
// and an error if the message holds a CR LF or is longer than MaxMessage.
func AppendLine(b []byte, message string) ([]byte, error) {
	switch {
	case strings.Contains(message, terminator):
		return b, fmt.Errorf("%w: CR LF inside %.80q", ErrUnsendable, message)
	case len(message) > MaxMessage:
		return b, ErrTooLong
	}
	return append(append(b, message...), terminator...), nil
}
