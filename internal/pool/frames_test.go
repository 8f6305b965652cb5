package pool

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// scriptedConn delivers bytes and takes what is written.
type scriptedConn struct {
	net.Conn
	input *bytes.Reader
}

func (c scriptedConn) Read(b []byte) (int, error)       { return c.input.Read(b) }
func (c scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c scriptedConn) Close() error                     { return nil }
func (c scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func connReading(data []byte) *conn {
	socket := scriptedConn{input: bytes.NewReader(data)}
	return &conn{net: socket, reader: bufio.NewReader(socket), prepared: map[string]bool{}, log: logrus.NewEntry(logrus.New())}
}

// marked returns an answer to the request with the number.
func marked(number uint64, messages ...[]byte) []byte {
	types := binary.BigEndian.AppendUint16(nil, 2)
	for _, t := range markerTypes(number) {
		types = binary.BigEndian.AppendUint32(types, t)
	}
	marker := [][]byte{message('1', ""), message('t', string(types)), message('n', ""), message('3', "")}
	return bytes.Join(append(marker, messages...), nil)
}

func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

var readyMessage = message('Z', "I")

// Guards against a malformed message of a backend server that ends the process or counts as an
// answer.
func TestMalformedServerMessagesEndTheConnection(t *testing.T) {
	for _, m := range [][]byte{
		message('Z', ""), message('Z', "II"), message('S', "log_position"), message('S', "log_position\x001/2"), message('S', ""),
		message('E', "C25006"), message('E', "SERROR\x00C25006"), message('E', "SERROR\x00C25006\x00"), message('E', ""), message('N', "x"),
	} {
		c := connReading(marked(0, m, readyMessage))
		if _, err := (&exchange{conn: c}).receive(nil); err == nil || !c.broken {
			t.Errorf("%q in an answer: error %v, broken %t", m, err, c.broken)
		}
		c = connReading(marked(1, m, readyMessage))
		if _, err := c.query("q", time.Second); err == nil || !c.broken {
			t.Errorf("%q in the answer to the proxy: error %v, broken %t", m, err, c.broken)
		}
		c = connReading(append(m, marked(0, readyMessage)...))
		if _, err := (&exchange{conn: c}).receive(nil); err == nil || !c.broken {
			t.Errorf("%q in front of an answer: error %v, broken %t", m, err, c.broken)
		}
	}
	c := connReading(marked(0, message('S', "log_position\x001/2\x00"), message('E', "SERROR\x00C25006\x00\x00"), readyMessage))
	e := &exchange{conn: c}
	if _, err := e.receive(nil); err != nil || !e.done || !e.readOnlyRefused || c.position.Offset != 2 {
		t.Errorf("well-formed answer: %v, code %q, position %v", err, e.errorCode, c.position)
	}
}

func FuzzServerMessages(f *testing.F) {
	f.Add(readyMessage)
	f.Add(append(message('S', "log_position\x001/2\x00"), readyMessage...))
	f.Add(append(message('E', "SERROR\x00C25006\x00\x00"), readyMessage...))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, answer := range [][]byte{data, marked(0, data)} {
			e := &exchange{conn: connReading(answer), acks: []ack{{statement: "s"}}}
			if _, err := e.receive(nil); err == nil && !e.done && len(data) < maxPartBytes {
				t.Errorf("%q: answer without an end", answer)
			}
		}
	})
}
