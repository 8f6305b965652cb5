package statement

import (
	"net"

	"github.com/juju/errors"

	"chicoryline/internal/position"
)

// IsTimeout reports whether the error says that an answer has not arrived in time.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// ServerStatus is what a backend server reports about itself.
type ServerStatus struct {
	Primary bool
	// Term is the term of the last promotion that the server knows of.
	Term uint64
	// PausedTerm is the term for which the server was told to pause replication, 0 if it is
	// not paused.
	PausedTerm uint64
	// Received is the end of the log of the server, whether applied or not.
	Received position.Position
}
