package pool

import (
	"bufio"
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

// cString returns the zero-terminated string at the start of b.
func cString(b []byte) string {
	for i, c := range b {
		if c == 0 {
			return string(b[:i])
		}
	}
	return string(b)
}
