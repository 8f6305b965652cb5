package load

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
)

// Class is what a caller knows about the effect of a request.
type Class uint8

// The classes; the last three are the classes of the proxy's error table.
const (
	Succeeded Class = iota
	NotRun
	Failed
	Unknown
)

// Outcome is how a request ended.
type Outcome struct {
	Class Class
	// Kind is the error kind from the proxy's error table, "database" for an error of the
	// backend server, or "connection" for a connection error.
	Kind string
}

// OverRate reports whether the request was refused because of the customer's rate limit.
func (o Outcome) OverRate() bool { return o.Kind == "over_rate" }

// outcomeOf derives the outcome from the error that the caller received. If the connection
// broke after sending, the effect is unknown; if the client library found it closed before
// sending anything, the request did not run.
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

// parseDetail parses an error detail of the form "kind=K class=C".
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
