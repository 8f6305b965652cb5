package pool

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"chicoryline/internal/errkind"
)

// frameHeader is the size of a message's type byte and length, in bytes.
const frameHeader = 5

// maxFrameBytes bounds one message of a backend server, in bytes.
const maxFrameBytes = 64 << 20

// frame is one PostgreSQL message in its wire format, header included.
type frame []byte

func (f frame) kind() byte   { return f[0] }
func (f frame) body() []byte { return f[frameHeader:] }

// isAsynchronous reports whether a server may send the message at any time.
func (f frame) isAsynchronous() bool { return f.kind() == 'S' || f.kind() == 'A' || f.kind() == 'N' }

// readFrame reads one message into buf, which it reallocates if it is too small.
func readFrame(r *bufio.Reader, buf []byte) (frame, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(head[1:])) + 1
	if size < frameHeader || size > maxFrameBytes {
		return nil, errkind.New(errkind.MessageTooLarge, "backend message of %d bytes", size)
	}
	if cap(buf) < size {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	copy(buf, head[:])
	_, err := io.ReadFull(r, buf[frameHeader:])
	return buf, err
}

// splitFrames splits encoded messages into frames without copying.
func splitFrames(data []byte) ([]frame, error) {
	var frames []frame
	for len(data) > 0 {
		if len(data) < frameHeader {
			return nil, errkind.New(errkind.ProtocolViolation, "message header of %d bytes", len(data))
		}
		size := int(binary.BigEndian.Uint32(data[1:])) + 1
		if size < frameHeader || size > len(data) {
			return nil, errkind.New(errkind.ProtocolViolation, "message length %d", size)
		}
		frames = append(frames, frame(data[:size:size]))
		data = data[size:]
	}
	return frames, nil
}

// check returns an error if a message that the proxy reads itself is malformed.
func (f frame) check() error {
	ok := true
	switch f.kind() {
	case 'Z':
		ok = len(f.body()) == 1
	case 'S':
		_, value, named := cutString(f.body())
		_, rest, valued := cutString(value)
		ok = named && valued && len(rest) == 0
	case 'E', 'N':
		ok = hasFields(f.body())
	}
	if !ok {
		return errkind.New(errkind.ProtocolViolation, "malformed message %q of a backend server", f.kind())
	}
	return nil
}

// hasFields reports whether the body is a list of fields, each a byte and a string, with a zero at
// its end.
func hasFields(body []byte) bool {
	for len(body) > 0 && body[0] != 0 {
		var ok bool
		if _, body, ok = cutString(body[1:]); !ok {
			return false
		}
	}
	return len(body) == 1
}

// cutString returns the zero-terminated string at the start of b and what follows it, and whether
// there is one.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	before, rest, ok := bytes.Cut(b, []byte{0})
	return string(before), rest, ok
}

// cString returns the zero-terminated string at the start of b.
func cString(b []byte) string {
	s, _, _ := cutString(b)
	return s
}
