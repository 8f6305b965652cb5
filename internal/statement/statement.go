// Package statement holds the protocol-neutral form of what callers ask and what
// backend servers answer. Dialects translate at both ends of the data path.
package statement

import (
	"time"

	"chicoryline/internal/position"
)

// Op is what a statement does.
type Op uint8

// The closed list of operations.
const (
	Begin Op = iota
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
)

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's name of the request; it travels to the backend server.
	ID string
	Op Op
	// Text is the statement as the caller sent it.
	Text string
	// Name is the session value of Set, or the prepared statement.
	Name string
	// Value is the session value of Set or the shape of Prepare.
	Value string
	// Args is what follows the name of Execute.
	Args string
	// ReadOnly tells that Begin or Prepare declares reads only.
	ReadOnly bool
}

// Status is the transaction state after an answer.
type Status byte

// The three states.
const (
	Idle   Status = 'I'
	InTx   Status = 'T'
	Failed Status = 'E'
)

// Result is the answer to one statement.
type Result struct {
	Rows []string
	// Signature is the backend server's proof that it ran the statement.
	Signature string
	// Err is nil on success and carries an errkind otherwise.
	Err    error
	Status Status
	// Position is the place in the server's log when it answered; zero if the
	// answer named none.
	Position position.Position
}

// Command is one message to a backend server.
type Command struct {
	ID   string
	Text string
	// After is the position that the server must have applied; zero for none.
	After position.Position
}

// Conn is a connection to a backend server on behalf of one customer. It has one
// user at a time.
type Conn interface {
	// Send writes the commands. After an error the connection is of no use.
	Send(commands ...Command) error
	// Receive reads the next answer. An error that IsTimeout holds for leaves the
	// connection usable: the answer can be awaited again.
	Receive(wait time.Duration) (Result, error)
	// Alive reports whether the far end has closed the idle connection, as far as
	// the socket knows.
	Alive() bool
	Close()
}
