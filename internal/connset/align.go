package connset

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"

	"chicoryline/internal/errkind"
	"chicoryline/internal/statement"
)

// maxPrepared bounds the prepared statements of one connection. A connection that reaches it
// is reset.
const maxPrepared = 256

// maxKeptValueBytes bounds the session values that an idle connection remembers, so that it can
// leave out those that the next session shares. With larger ones it is reset.
const maxKeptValueBytes = 64 << 10

// Prepared is a prepared statement. Its name at backend servers is derived from its content,
// so that connections share it and the names chosen by callers never collide.
type Prepared struct {
	Shape    string
	ReadOnly bool
	Name     string
}

// nameBytes is the length of the digest in the name of a prepared statement: callers choose shapes,
// and two with the same name must not be found.
const nameBytes = 16

// NewPrepared returns the prepared statement with the given shape.
func NewPrepared(shape string, readOnly bool) *Prepared {
	kind := "w"
	if readOnly {
		kind = "r"
	}
	digest := sha256.Sum256([]byte(shape))
	return &Prepared{Shape: shape, ReadOnly: readOnly, Name: kind + hex.EncodeToString(digest[:nameBytes])}
}

// SessionState is what the session at the server must hold for a statement.
type SessionState struct {
	Values   map[string]string
	Prepared *Prepared
}

// setupCommands returns the commands that bring the session at the server into the required
// state.
func (c *Conn) setupCommands(n SessionState, texts Texts) []statement.Command {
	var commands []statement.Command
	if c.dirty || c.hasExtraValues(n.Values) || len(c.prepared) >= maxPrepared {
		commands = append(commands, statement.Command{Text: texts.Reset()})
		clear(c.values)
		clear(c.prepared)
		c.dirty = false
	}
	for name, value := range n.Values {
		if have, ok := c.values[name]; !ok || have != value {
			commands = append(commands, statement.Command{Text: texts.Set(name, value)})
		}
	}
	if p := n.Prepared; p != nil {
		if _, ok := c.prepared[p.Name]; !ok {
			commands = append(commands, statement.Command{Text: texts.Prepare(p.Name, p.Shape, p.ReadOnly)})
		}
	}
	return commands
}

// forgetLargeValues makes a connection whose session holds large values reset it at its next use.
func (c *Conn) forgetLargeValues() {
	size := 0
	for name, value := range c.values {
		size += len(name) + len(value)
	}
	if size > maxKeptValueBytes {
		c.dirty = true
		clear(c.values)
		clear(c.prepared)
	}
}

// hasExtraValues reports whether the session at the server holds a value that is not wanted;
// only a reset removes values.
func (c *Conn) hasExtraValues(wanted map[string]string) bool {
	for name := range c.values {
		if _, ok := wanted[name]; !ok {
			return true
		}
	}
	return false
}

// Align brings the session at the server into the required state and, if begin is set, sends
// it and returns its answer. The next user reads the answers to the trailing commands. After an
// error the connection has to be discarded; none of the caller's statements has run.
func (c *Conn) Align(n SessionState, texts Texts, begin *statement.Command, wait time.Duration, trailing ...statement.Command) (statement.Result, error) {
	if err := c.Drain(wait); err != nil {
		return statement.Result{}, err
	}
	commands := c.setupCommands(n, texts)
	setups := len(commands)
	c.changed = c.changed || setups > 0
	if begin != nil {
		commands = append(commands, *begin)
	}
	commands = append(commands, trailing...)
	if len(commands) == 0 {
		return statement.Result{}, nil
	}
	if err := c.Conn.Send(commands...); err != nil {
		return statement.Result{}, errkind.New(errkind.Unreachable, "%v", err)
	}
	c.unread += len(trailing)
	for i := range setups {
		r, err := c.Conn.Receive(wait)
		if err != nil {
			return r, errkind.New(errkind.Unreachable, "%v", err)
		}
		if r.Err != nil {
			c.dirty = true
			return r, errkind.New(errkind.Unreachable, "set-up %d of a connection failed: %v", i, r.Err)
		}
	}
	maps.Copy(c.values, n.Values)
	if p := n.Prepared; p != nil {
		c.prepared[p.Name] = struct{}{}
	}
	if begin == nil {
		return statement.Result{}, nil
	}
	r, err := c.Conn.Receive(wait)
	if err != nil {
		return r, errkind.New(errkind.Unreachable, "%v", err)
	}
	return r, nil
}

// Start sends a command whose answer the caller reads, and trailing commands whose answers the
// next user reads. It first reads the answers left to this user. An error of kind Unreachable
// guarantees that nothing was sent.
func (c *Conn) Start(command statement.Command, trailing ...statement.Command) error {
	if err := c.Drain(drainTimeout); err != nil {
		return err
	}
	if len(trailing) == 0 {
		return c.Conn.Send(command)
	}
	c.unread += len(trailing)
	return c.Conn.Send(append([]statement.Command{command}, trailing...)...)
}

// drainTimeout bounds the wait for answers left by an earlier user: several times two round
// trips between failure domains and the processing at the server.
const drainTimeout = 150 * time.Millisecond

// Drain reads the answers left by earlier users. The last one answers the end of a
// transaction: the connection is unusable if the server reports an open one.
func (c *Conn) Drain(wait time.Duration) error {
	status := statement.Idle
	for c.unread > 0 {
		r, err := c.Conn.Receive(wait)
		if err != nil {
			return errkind.New(errkind.Unreachable, "%v", err)
		}
		c.unread--
		status = r.Status
	}
	if status != statement.Idle {
		return errkind.New(errkind.Unreachable, "an earlier transaction was not ended: state %q", status)
	}
	return nil
}
