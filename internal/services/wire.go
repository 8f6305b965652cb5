package services

import "chicoryline/internal/errkind"

// Paths, headers and content type of the HTTP protocol.
const (
	PathRow           = "/table/row"
	PathRows          = "/table/rows"
	PathCompareAndSet = "/table/compare-and-set"
	PathDelete        = "/table/delete"
	PathObject        = "/object"
	PathGroups        = "/groups"
	PathVMs           = "/vms"
	HeaderVM          = "Chicoryline-VM"
	HeaderDomain      = "Chicoryline-Domain"
	ContentJSON       = "application/json"
)

// WriteRequest is the body of a compare-and-set or a delete.
type WriteRequest struct {
	Key       string
	Version   uint64
	Value     []byte `json:",omitempty"`
	RequestID string
}

// ObjectBody is the body that carries an object in either direction.
type ObjectBody struct {
	Name string `json:",omitempty"`
	Data []byte `json:",omitempty"`
}

// ErrorBody is the body of every response with a status other than 200.
type ErrorBody struct {
	Kind   string
	Detail string
}

// Err returns the error that the body describes, or false if the platform does not return
// errors of its kind.
func (b ErrorBody) Err() (error, bool) {
	for _, kind := range []errkind.Kind{errkind.NotFound, errkind.Conflict, errkind.PlatformUnavailable, errkind.PlatformUnknown} {
		if kind.String() == b.Kind {
			return errkind.New(kind, "%s", b.Detail), true
		}
	}
	return nil, false
}
