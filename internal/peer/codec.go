package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"chicoryline/internal/timeline"
)

// header precedes the body of each request and response. Its stamp carries the sender's hybrid
// logical clock, so that the timeline orders causes before effects across all processes.
type header struct {
	Method string
	Seq    uint64
	Error  string
	Stamp  timeline.Stamp
}

// codec encodes requests and responses with gob. The client side and the server side share it;
// net/rpc serializes the writes of each side.
type codec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	clock   *timeline.Clock
	in      header
	closed  sync.Once
}

func newCodec(conn io.ReadWriteCloser, clock *timeline.Clock) *codec {
	buffer := bufio.NewWriter(conn)
	return &codec{
		conn: conn, decoder: gob.NewDecoder(bufio.NewReader(conn)),
		encoder: gob.NewEncoder(buffer), buffer: buffer, clock: clock,
	}
}

func (c *codec) write(h header, body any) error {
	h.Stamp = c.clock.Now()
	err := c.encoder.Encode(&h)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

func (c *codec) readHeader() error {
	c.in = header{}
	startRequest(c.conn)
	if err := c.decoder.Decode(&c.in); err != nil {
		return err
	}
	c.clock.Observe(c.in.Stamp)
	return nil
}

func (c *codec) readBody(body any) error { return c.decoder.Decode(body) }

// Close closes the connection.
func (c *codec) Close() error {
	var err error
	c.closed.Do(func() { err = c.conn.Close() })
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.readHeader()
	r.ServiceMethod, r.Seq, r.Error = c.in.Method, c.in.Seq, c.in.Error
	return err
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.readHeader()
	r.ServiceMethod, r.Seq = c.in.Method, c.in.Seq
	return err
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}
