// Package statement holds the protocol-neutral form of callers' requests and backend servers'
// answers. The protocol packages at both ends of the data path translate to and from it.
package statement

import (
	"time"

	"chicoryline/internal/position"
)

// Op is the kind of a statement.
type Op uint8

// The supported operations.
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
	// ID is the caller's ID of the request; it is passed on to the backend server.
	ID string
	Op Op
	// Text is the statement as the caller sent it.
	Text string
	// Name is the name of the session value of Set, or of the prepared statement.
	Name string
	// Value is the session value of Set, or the shape of Prepare, as sent to backend servers.
	Value string
	// Args is the text that follows the name in Execute.
	Args string
	// ReadOnly reports that Begin or Prepare declares that it only reads.
	ReadOnly bool
}

// Status is the transaction state after an answer.
type Status byte

// The transaction states.
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
	// Err is nil on success; otherwise it is an error with an errkind.
	Err    error
	Status Status
	// Position is the position of the log of the server when it answered; zero if the answer
	// contained none.
	Position position.Position
}

// Command is one message to a backend server.
type Command struct {
	// ID is the caller's ID of the statement. Commands of the proxy itself have none; their
	// successes are not signed.
	ID   string
	Text string
	// After is the position that the server must have applied; zero for none.
	After position.Position
	// State is the transaction state after a success of a command without an ID, 0 if the command
	// does not change it.
	State Status
	// Rows reports that a success of a command without an ID has rows.
	Rows bool
	// Read reports that the command is a read outside a transaction of its caller.
	Read bool
}

// Conn is a connection to a backend server on behalf of one customer. It must not be used
// concurrently.
type Conn interface {
	// Send writes the commands. After an error the connection is unusable.
	Send(commands ...Command) error
	// Receive reads the next answer. After an error for which IsTimeout is true the connection
	// stays usable, and Receive can be called again for the same answer.
	Receive(wait time.Duration) (Result, error)
	// Alive reports whether the idle connection is still open, as far as the socket knows.
	Alive() bool
	Close()
}
