package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"chicoryline/internal/errkind"
)

// readLoop collects the caller's messages into batches until the connection ends. The channel
// of batches holds one, so a caller that sends requests ahead is slowed down by TCP flow
// control.
func (c *conn) readLoop() {
	defer close(c.batches)
	b := &batch{}
	for {
		message, err := c.backend.Receive()
		if err != nil {
			c.reportReadError(err)
			return
		}
		if _, terminated := message.(*pgproto3.Terminate); terminated {
			return
		}
		complete := c.addMessage(b, message)
		if !complete {
			continue
		}
		if !c.enqueue(b) || b.fatal {
			return
		}
		b = &batch{}
	}
}

// addMessage adds the message to the batch and reports whether the batch is complete.
func (c *conn) addMessage(b *batch, message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		b.addQuery(m)
		return true
	case *pgproto3.Sync:
		b.encode(m)
		return true
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close, *pgproto3.Flush:
		b.addExtended(message, c.prepared)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
	default:
		b.reject(errkind.New(errkind.ProtocolViolation, "unexpected message"))
		b.fatal = true
		return true
	}
	if len(b.messages) > c.server.cfg.MaxMessageBytes {
		b.reject(errkind.New(errkind.MessageTooLarge, "request over %d bytes", c.server.cfg.MaxMessageBytes))
		b.messages, b.statements = nil, nil
	}
	return false
}

// reportReadError answers a message that exceeds the size limit with an error. After other
// read errors no answer is sent.
func (c *conn) reportReadError(err error) {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if !errors.As(err, &tooLarge) {
		return
	}
	b := &batch{fatal: true}
	b.reject(errkind.New(errkind.MessageTooLarge, "message of %d bytes", tooLarge.ActualBodyLen))
	c.enqueue(b)
}

// enqueue passes the batch to run. It returns false if the connection has ended.
func (c *conn) enqueue(b *batch) bool {
	select {
	case c.batches <- b:
		return true
	case <-c.ended:
		return false
	}
}
