// Package lineclient is a client for the line protocol of the users' platform, for tests,
// the demo and the soak test.
package lineclient

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is one session.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
	// Timeout is the deadline for each request and its answer.
	Timeout time.Duration
	// Observer, if set, is told of each Query and its answer.
	Observer Observer
	inTx     bool
}

// Observer is told which statements a caller has sent and which answers it has received. It
// may be used by several callers at the same time.
type Observer interface {
	// Sent is called before the session sends a statement.
	Sent(session *Client, id, text string)
	Answered(id string, a Answer)
}

// Answer is the response to one request. Code is empty on success.
type Answer struct {
	Rows      []string
	Signature string
	Code      string
	Text      string
	State     string
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

// Dial opens a session.
func Dial(address, database, key string, timeout time.Duration) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, r: bufio.NewReader(conn), Timeout: timeout}
	a, err := c.exchange("STARTUP " + database + " " + key)
	if err == nil && a.Code != "" {
		err = &RefusedError{a.Code}
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Query sends one statement and reads its answer.
func (c *Client) Query(id, text string) (Answer, error) {
	if c.Observer == nil {
		return c.exchange("QUERY " + id + " " + text)
	}
	c.Observer.Sent(c, id, text)
	a, err := c.exchange("QUERY " + id + " " + text)
	if err == nil {
		c.Observer.Answered(id, a)
		c.inTx = a.State != "I"
	}
	return a, err
}

// Raw sends a line unchanged and reads an answer.
func (c *Client) Raw(line string) (Answer, error) { return c.exchange(line) }

// InTx reports whether the session was in a transaction after its last answer. It works only
// with an Observer.
func (c *Client) InTx() bool { return c.inTx }

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }

func (c *Client) exchange(line string) (Answer, error) {
	var a Answer
	if err := c.conn.SetDeadline(time.Now().Add(c.Timeout)); err != nil {
		return a, err
	}
	if _, err := fmt.Fprintf(c.conn, "%s\r\n", line); err != nil {
		return a, err
	}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			// A refused startup is an error line followed by the end of the connection.
			if a.Code != "" && a.State == "" {
				return a, nil
			}
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, errors.New("answer contains unknown message type " + word)
		}
	}
}
