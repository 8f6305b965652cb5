package load

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Class tells what a caller knows of the effect of a request.
type Class uint8

// The classes; the last three are those of the proxy's table of errors.
const (
	Succeeded Class = iota
	NotRun
	Failed
	Unknown
)

// Outcome is how a request ended.
type Outcome struct {
	Class Class
	// Kind is the error kind of the proxy's table, "database" for an error of
	// the backend server, or "connection".
	Kind string
}

// OverRate reports whether the request was refused for the customer's rate.
func (o Outcome) OverRate() bool { return o.Kind == "over_rate" }

// outcomeOf reads the class from the error that the caller got. A connection
// that broke after sending says nothing; one that the client library found
// closed before it sent anything did not run the request.
func outcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{}
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if pgconn.SafeToRetry(err) {
			return Outcome{Class: NotRun, Kind: "connection"}
		}
		return Outcome{Class: Unknown, Kind: "connection"}
	}
	kind, class, ok := parseDetail(pg.Detail)
	if !ok {
		return Outcome{Class: Failed, Kind: "database"}
	}
	return Outcome{Class: class, Kind: kind}
}

// parseDetail reads "kind=K class=C".
func parseDetail(detail string) (string, Class, bool) {
	rest, ok := strings.CutPrefix(detail, "kind=")
	if !ok {
		return "", Unknown, false
	}
	kind, class, ok := strings.Cut(rest, " class=")
	if !ok {
		return "", Unknown, false
	}
	switch class {
	case "not run":
		return kind, NotRun, true
	case "failed":
		return kind, Failed, true
	}
	return kind, Unknown, true
}
