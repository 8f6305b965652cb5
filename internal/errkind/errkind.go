// Package errkind defines the fixed set of error kinds that a caller or an
// operator can see, and the table that maps each kind to its answer: name,
// SQLSTATE, class, retry advice, log level and text.
//
// Every error that leaves a process carries a Kind. An error without one is
// reported as Internal. The class of Internal is Unknown, because the effects
// of such a failure are not known.
package errkind

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Kind identifies one way in which a request can fail.
type Kind uint8

// The kinds. Their numeric values are part of the protocol between processes:
// append new kinds at the end, never reorder or remove any.
const (
	// Internal is a fault of the proxy itself.
	Internal Kind = iota
	// ProtocolViolation is a message that violates the PostgreSQL protocol.
	ProtocolViolation
	// MessageTooLarge is a message larger than the configured limit.
	MessageTooLarge
	// Unauthorized is a wrong, unknown or revoked key.
	Unauthorized
	// UnknownRoute is a route that is not in the configuration.
	UnknownRoute
	// RouteForbidden is a route that the customer may not use.
	RouteForbidden
	// BadToken is a session token that is forged, malformed or issued to another
	// customer.
	BadToken
	// KeyInStatement is a statement that carries the caller's key in its text.
	KeyInStatement
	// Unsupported is a feature that the proxy does not support by design.
	Unsupported
	// OverRate is a request over the customer's rate and burst limits.
	OverRate
	// QueueFull is a request rejected because the instance's queue is full.
	QueueFull
	// QueueTimeout is a request whose admission deadline passed while it was queued.
	QueueTimeout
	// NoPrimary means that no server can currently be proven to be the primary.
	NoPrimary
	// NotEligible means that the chosen instance is too far behind for the request.
	NotEligible
	// Unreachable means that no connection to a process or an instance could be made.
	Unreachable
	// ConfigStale means that this node cannot prove that its configuration is current.
	ConfigStale
	// ShuttingDown is a request to a process that is in a planned shutdown.
	ShuttingDown
	// ReadOnly is a write on a read-only route or transaction.
	ReadOnly
	// StatementFailed is an error returned by the instance and passed through.
	StatementFailed
	// TransactionLost is an open transaction whose connection broke before COMMIT was sent.
	TransactionLost
	// OutcomeUnknown is a write whose outcome could not be determined.
	OutcomeUnknown
	// AnswerIncomplete is a read whose answer was cut short; nothing was changed.
	AnswerIncomplete
	// VersionConflict is a patch based on a version that is no longer the newest.
	VersionConflict
	// InvalidPatch is a patch that does not parse or refers to an object that does not exist.
	InvalidPatch
	// InvalidSettings is a settings file with errors.
	InvalidSettings
	// PatchRefused is a patch that a domain or VM blocked; it was not applied.
	PatchRefused
	// PlatformUnavailable is a platform call that is known to have had no effect.
	PlatformUnavailable
	// PlatformUnknown is a platform call whose effect could not be determined.
	PlatformUnknown
	// NotFound is a row, object or id that does not exist.
	NotFound
	// Conflict is a compare-and-set that lost to another writer.
	Conflict
	// Fenced is an instance command refused because of a higher term.
	Fenced
	// Canceled is a statement ended by the caller's cancel request.
	Canceled
	// HistoryGone is a watch of the store from a version whose history is no longer kept.
	HistoryGone
	// WrongServer means that a different backend server answers at the address.
	WrongServer
	// ConnectionLimit means that the backend server accepts no more connections.
	ConnectionLimit
	// NoStatement is a prepared statement that does not exist on the connection.
	NoStatement
	// StatementTimeout is a statement that exceeded its time limit.
	StatementTimeout
	kindCount
)

// Class describes what is known about the effect of a failed request.
type Class uint8

// The classes.
const (
	// NotRun means that no part of the request ran.
	NotRun Class = iota
	// Failed means that the request ran and left no effect.
	Failed
	// Unknown means that the request may or may not have taken effect.
	Unknown
)

// String returns the class as it appears in logs and documentation.
func (c Class) String() string {
	return [...]string{"not run", "failed", "unknown"}[c]
}

// Retry is the advice to the caller on whether to send the request again.
type Retry uint8

// The retry advice.
const (
	// RetryNever means that the same request will fail again.
	RetryNever Retry = iota
	// RetryNow means that the same request may be sent again immediately.
	RetryNow
	// RetryLater means that the same request may be sent again after a delay.
	RetryLater
	// CheckFirst means that the caller must determine the outcome before a retry.
	CheckFirst
)

// String returns the advice as it appears in logs and documentation.
func (r Retry) String() string {
	return [...]string{"never", "now", "later", "check first"}[r]
}

// Answer is the table entry of one kind.
type Answer struct {
	Name     string
	SQLState string
	Class    Class
	Retry    Retry
	Level    logrus.Level
	Text     string
}

var table = [kindCount]Answer{
	Internal:            {"internal", "XX000", Unknown, CheckFirst, logrus.ErrorLevel, "internal error"},
	ProtocolViolation:   {"protocol_violation", "08P01", NotRun, RetryNever, logrus.InfoLevel, "protocol violation"},
	MessageTooLarge:     {"message_too_large", "54000", NotRun, RetryNever, logrus.InfoLevel, "message too large"},
	Unauthorized:        {"unauthorized", "28P01", NotRun, RetryNever, logrus.InfoLevel, "key is not valid for this customer"},
	UnknownRoute:        {"unknown_route", "3D000", NotRun, RetryNever, logrus.InfoLevel, "route does not exist"},
	RouteForbidden:      {"route_forbidden", "42501", NotRun, RetryNever, logrus.InfoLevel, "route is not open to this customer"},
	BadToken:            {"bad_token", "22023", NotRun, RetryNever, logrus.InfoLevel, "session token is not valid"},
	KeyInStatement:      {"key_in_statement", "22000", NotRun, RetryNever, logrus.WarnLevel, "statement contains the caller's key"},
	Unsupported:         {"unsupported", "0A000", NotRun, RetryNever, logrus.InfoLevel, "feature is not supported"},
	OverRate:            {"over_rate", "53400", NotRun, RetryLater, logrus.InfoLevel, "rate of the customer is used up"},
	QueueFull:           {"queue_full", "53300", NotRun, RetryLater, logrus.WarnLevel, "queue of the backend server is full"},
	QueueTimeout:        {"queue_timeout", "57014", NotRun, RetryLater, logrus.WarnLevel, "no execution slot before the deadline"},
	NoPrimary:           {"no_primary", "57P03", NotRun, RetryLater, logrus.WarnLevel, "no primary can be reached"},
	NotEligible:         {"not_eligible", "57P04", NotRun, RetryNow, logrus.DebugLevel, "backend server is behind the request"},
	Unreachable:         {"unreachable", "08001", NotRun, RetryNow, logrus.WarnLevel, "backend cannot be connected"},
	ConfigStale:         {"config_stale", "57P05", NotRun, RetryLater, logrus.WarnLevel, "configuration cannot be proved current here"},
	ShuttingDown:        {"shutting_down", "57P01", NotRun, RetryNow, logrus.InfoLevel, "proxy is stopping"},
	ReadOnly:            {"read_only", "25006", NotRun, RetryNever, logrus.InfoLevel, "write on a read-only route or transaction"},
	StatementFailed:     {"statement_failed", "XX001", Failed, RetryNever, logrus.DebugLevel, "statement failed"},
	TransactionLost:     {"transaction_lost", "40003", Failed, RetryNow, logrus.WarnLevel, "transaction was rolled back"},
	OutcomeUnknown:      {"outcome_unknown", "08007", Unknown, CheckFirst, logrus.WarnLevel, "outcome of the write is unknown"},
	AnswerIncomplete:    {"answer_incomplete", "08006", Failed, RetryNow, logrus.WarnLevel, "answer of a read broke off"},
	VersionConflict:     {"version_conflict", "40001", NotRun, RetryNever, logrus.InfoLevel, "patch is based on an old version"},
	InvalidPatch:        {"invalid_patch", "22P02", NotRun, RetryNever, logrus.InfoLevel, "patch is not valid"},
	InvalidSettings:     {"invalid_settings", "F0000", NotRun, RetryNever, logrus.ErrorLevel, "settings are not valid"},
	PatchRefused:        {"patch_refused", "55000", NotRun, RetryLater, logrus.WarnLevel, "patch was refused"},
	PlatformUnavailable: {"platform_unavailable", "58000", NotRun, RetryLater, logrus.WarnLevel, "platform is not available"},
	PlatformUnknown:     {"platform_unknown", "58030", Unknown, CheckFirst, logrus.WarnLevel, "answer of the platform was lost"},
	NotFound:            {"not_found", "02000", NotRun, RetryNever, logrus.InfoLevel, "not found"},
	Conflict:            {"conflict", "40002", NotRun, RetryNow, logrus.DebugLevel, "another writer was first"},
	Fenced:              {"fenced", "55006", NotRun, RetryNever, logrus.InfoLevel, "a higher term is in force"},
	Canceled:            {"canceled", "57014", Failed, RetryNever, logrus.InfoLevel, "statement was canceled"},
	HistoryGone:         {"history_gone", "58P01", NotRun, RetryNow, logrus.InfoLevel, "history of the store is gone"},
	WrongServer:         {"wrong_server", "08004", NotRun, RetryNow, logrus.WarnLevel, "another backend server is at the address"},
	ConnectionLimit:     {"connection_limit", "53300", NotRun, RetryLater, logrus.WarnLevel, "backend server takes no further connection"},
	NoStatement:         {"no_statement", "26000", NotRun, RetryNow, logrus.InfoLevel, "prepared statement does not exist"},
	StatementTimeout:    {"statement_timeout", "57014", Unknown, CheckFirst, logrus.WarnLevel, "statement passed its time limit"},
}

// All returns every kind in the order of declaration.
func All() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Received returns the kind that another process sent as a number. One that this process does not
// know, as it runs another version, is Internal: nothing is known about the outcome.
func Received(number int) Kind {
	if number < 0 || number >= int(kindCount) {
		return Internal
	}
	return Kind(number)
}

// Answer returns the table entry of the kind, or that of Internal for an
// unknown kind.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's name in the table.
func (k Kind) String() string { return k.Answer().Name }

// Error is an error with a kind. Detail must never contain a key or statement
// text.
type Error struct {
	Kind   Kind
	Detail string
	// RetryAfter is the retry time at the end of Detail, 0 if there is none.
	RetryAfter time.Duration
}

// Error returns the text of the kind, followed by the detail if there is one.
func (e *Error) Error() string {
	text := e.Kind.Answer().Text
	if e.Detail == "" {
		return text
	}
	return text + ": " + e.Detail
}

// New returns an error of the kind with a formatted detail and a recorded source
// location.
func New(kind Kind, format string, args ...any) error {
	err := errors.Trace(&Error{Kind: kind, Detail: fmt.Sprintf(format, args...)})
	return err
}

// NewRetryAfter returns an error of the kind with a formatted detail that ends with when the
// caller is to come back.
func NewRetryAfter(kind Kind, wait time.Duration, format string, args ...any) error {
	return (&Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}).WithRetryAfter(wait)
}

// WithRetryAfter returns the error with the retry time in place of the one that it may have.
func (e *Error) WithRetryAfter(wait time.Duration) error {
	detail := e.Detail
	if e.RetryAfter != 0 {
		detail = strings.TrimSuffix(detail, retryText(e.RetryAfter))
	}
	wait = max(wait, time.Millisecond)
	return errors.Trace(&Error{Kind: e.Kind, Detail: detail + retryText(wait), RetryAfter: wait})
}

func retryText(wait time.Duration) string {
	return fmt.Sprintf("; retry after %d ms", wait.Milliseconds())
}

// As returns the first Error in the chain of err and whether there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}

// KindOf returns the kind of the first Error in the chain of err, or Internal if
// there is none.
func KindOf(err error) Kind {
	if e, ok := As(err); ok {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and has the given kind. An error without a
// kind counts as Internal.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
