package statement

import (
	"net"

	"github.com/juju/errors"

	"chicoryline/internal/position"
)

// IsTimeout reports whether the error says that an answer is not there yet.
func IsTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// ServerStatus is what a backend server says of itself.
type ServerStatus struct {
	Primary bool
	// Term is that of the last promotion that the server knows of.
	Term uint64
	// PausedTerm is the term at which the server was told to pause, 0 if it receives.
	PausedTerm uint64
	// Received is the end of its log, applied or not.
	Received position.Position
}
