// Package lineclient is a client for the line protocol of the users' platform, for tests,
// the demo and the soak test. It accepts no answer but those that the protocol page describes.
package lineclient

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"chicoryline/internal/standin/linewire"
)

// Client is one session.
type Client struct {
	conn net.Conn
	r    *linewire.Reader
	// Timeout is the deadline for each request and its answer.
	Timeout time.Duration
	// Observer, if set, is told of each Query and its answer. If it is a FaultObserver, it is
	// told of faults, too.
	Observer Observer
	inTx     bool
	// mu is held during a request and its answer.
	mu sync.Mutex
	// failure is the error that ended the session.
	failure error
}

// Observer is told which statements a caller has sent and which answers it has received. It
// may be used by several callers at the same time.
type Observer interface {
	// Sent is called before the session sends a statement.
	Sent(session *Client, id, text string)
	Answered(id string, a Answer)
}

// FaultObserver is an Observer that is told of the first fault of a session: an
// *UnsolicitedError that is not a notice, or an *AnswerError.
type FaultObserver interface {
	Fault(session *Client, err error)
}

// Answer is the response to one request. Code is empty on success.
type Answer struct {
	Rows      []string
	Signature string
	Code      string
	Text      string
	State     string
	// Position is that of the server's log, "-" if there is none.
	Position string
}

// HasNoEffect reports whether the error code guarantees that the request had no effect.
func (a Answer) HasNoEffect() bool {
	switch a.Code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "CONNLIMIT":
		return true
	}
	return false
}

// RefusedError is returned by Dial when the server refuses the session.
type RefusedError struct{ Code string }

func (r *RefusedError) Error() string { return "session refused: " + r.Code }

// UnsolicitedError reports input that arrived while no request was outstanding. "A client closes
// its session on any message received while no request is outstanding."
type UnsolicitedError struct{ Input string }

func (e *UnsolicitedError) Error() string {
	return fmt.Sprintf("input while no request is outstanding: %.200q", e.Input)
}

// IsNotice reports whether the input is an ERROR: "All messages except ERROR then count as
// responses to nothing."
func (e *UnsolicitedError) IsNotice() bool { return strings.HasPrefix(e.Input, "ERROR ") }

// AnswerError reports a message that the protocol does not allow at its place in an answer.
type AnswerError struct{ Problem, Message string }

func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer is broken: %s: %.200q", e.Problem, e.Message)
}

// Dial opens a session. It returns a *RefusedError if the answer is an error, and an error of
// linewire if the database or the key cannot be sent.
func Dial(address, database, key string, timeout time.Duration) (*Client, error) {
	startup, err := linewire.Append(nil, "STARTUP", database, key)
	if err != nil {
		return nil, err
	}
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, r: linewire.NewReader(conn), Timeout: timeout}
	if err = c.send(startup); err == nil {
		err = c.readStartup()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// readStartup reads the answer to STARTUP: "READY, or ERROR followed by a close".
func (c *Client) readStartup() error {
	message, err := c.next()
	if err != nil {
		return err
	}
	var a Answer
	word, fields := linewire.Split(message, 2)
	switch {
	case word == "READY" && a.setReady(fields):
		return nil
	case word == "ERROR" && len(fields) == 2 && fields[0] != "":
		message, err := c.r.Next()
		var network net.Error
		if err == nil {
			return &AnswerError{"message behind the refusal of a session", message}
		} else if errors.As(err, &network) && network.Timeout() {
			return &AnswerError{"no close behind the refusal of a session", fields[0]}
		}
		return &RefusedError{fields[0]}
	}
	return &AnswerError{"not an answer to STARTUP", message}
}

// Query sends one statement and reads its answer. The text may hold any bytes but CR LF; an error
// of linewire says that it cannot be sent. An *UnsolicitedError says that the statement was not
// sent since other input had arrived before; an *AnswerError, that the answer is broken.
func (c *Client) Query(id, text string) (Answer, error) {
	request, err := linewire.Append(nil, "QUERY", id, text)
	if err != nil {
		return Answer{}, err
	}
	if c.Observer == nil {
		return c.exchange(request)
	}
	c.Observer.Sent(c, id, text)
	a, err := c.exchange(request)
	if err == nil {
		c.Observer.Answered(id, a)
		c.inTx = a.State != "I"
	}
	return a, err
}

// Raw sends a message unchanged and reads an answer.
func (c *Client) Raw(line string) (Answer, error) {
	request, err := linewire.AppendLine(nil, line)
	if err != nil {
		return Answer{}, err
	}
	return c.exchange(request)
}

// InTx reports whether the session was in a transaction after its last answer. It works only
// with an Observer.
func (c *Client) InTx() bool { return c.inTx }

// Close ends the session. The Observer is told of input that has arrived since the last answer.
// Another goroutine may be waiting for an answer, which then ends with an error.
func (c *Client) Close() {
	if c.mu.TryLock() {
		_ = c.checkIdle() // the Observer has been told
		c.failure = net.ErrClosed
		c.mu.Unlock()
	}
	c.conn.Close()
}

// Unsolicited returns an *UnsolicitedError if input has arrived since the last answer, or the
// error that ended the session. It does not wait.
func (c *Client) Unsolicited() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkIdle()
}

func (c *Client) send(request []byte) error {
	if err := c.conn.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
		return err
	}
	_, err := c.conn.Write(request)
	return err
}

// exchange sends a request and reads its answer. An error ends the session, as the answer may
// still arrive.
func (c *Client) exchange(request []byte) (Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkIdle(); err != nil {
		return Answer{}, err
	}
	err := c.send(request)
	if err != nil {
		return Answer{}, c.end(err)
	}
	a, err := c.readAnswer()
	if err != nil {
		return Answer{}, c.end(err)
	}
	return a, nil
}

// readAnswer reads the answer to a query: "any number of DATAROW messages, then COMPLETE
// signature or ERROR code, text, and in every case READY state, position".
func (c *Client) readAnswer() (Answer, error) {
	var a Answer
	for ended := false; ; {
		message, err := c.next()
		if err != nil {
			return a, err
		}
		switch word, fields := linewire.Split(message, 2); {
		case word == "DATAROW" && !ended && len(fields) > 0:
			_, fields = linewire.Split(message, 1)
			a.Rows = append(a.Rows, fields[0])
		case word == "COMPLETE" && !ended && len(fields) > 0:
			_, fields = linewire.Split(message, 1)
			a.Signature, ended = fields[0], true
		case word == "ERROR" && !ended && len(fields) == 2 && fields[0] != "":
			a.Code, a.Text, ended = fields[0], fields[1], true
		case word == "READY" && ended && a.setReady(fields):
			return a, nil
		default:
			return a, &AnswerError{"message out of place or with other fields", message}
		}
	}
}

// setReady takes the fields of a READY and reports whether they are valid.
func (a *Answer) setReady(fields []string) bool {
	if len(fields) != 2 || len(fields[0]) != 1 || !strings.Contains("ITE", fields[0]) {
		return false
	}
	a.State, a.Position = fields[0], fields[1]
	term, number, ok := strings.Cut(a.Position, ".")
	return a.Position == "-" || ok && isNumber(term) && isNumber(number)
}

func isNumber(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }

// next reads one message.
func (c *Client) next() (string, error) {
	message, err := c.r.Next()
	if errors.Is(err, linewire.ErrTooLong) {
		err = &AnswerError{err.Error(), ""}
	}
	return message, err
}

// checkIdle returns an error if the session has ended or if input has arrived, which ends it. The
// mutex is held.
func (c *Client) checkIdle() error {
	if c.failure != nil || c.r.Buffered() == 0 && !hasInput(c.conn) {
		return c.failure
	}
	// What has arrived is there at once; the rest of a message is not waited for.
	if err := c.conn.SetReadDeadline(time.Now().Add(arrivedTimeout)); err != nil {
		return c.end(err)
	}
	message, err := c.r.Next()
	switch n := c.r.Buffered(); {
	case err == nil:
		err = &UnsolicitedError{message}
	case n > 0:
		err = &UnsolicitedError{fmt.Sprintf("%d bytes without an end", n)}
	}
	return c.end(err)
}

// arrivedTimeout bounds the reading of input that has arrived.
const arrivedTimeout = 50 * time.Millisecond

// end ends the session with the error and tells the Observer of faults.
func (c *Client) end(err error) error {
	c.failure = err
	var answer *AnswerError
	var unsolicited *UnsolicitedError
	if o, ok := c.Observer.(FaultObserver); ok && (errors.As(err, &answer) || errors.As(err, &unsolicited) && !unsolicited.IsNotice()) {
		o.Fault(c, err)
	}
	return err
}

// hasInput reports whether the connection has received data, or has ended, without reading it.
func hasInput(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true // closed; reading returns the reason
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return waits || err != nil
}
