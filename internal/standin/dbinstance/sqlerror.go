package dbinstance

import (
	"fmt"

	"github.com/juju/errors"
)

// SQLSTATE codes of the errors that the instance returns.
const (
	codeProtocol             = "08P01"
	codeUnsupported          = "0A000"
	codeInvalidTextFormat    = "22P02"
	codeNotNullViolation     = "23502"
	codeUniqueViolation      = "23505"
	codeReadOnly             = "25006"
	codeActiveTransaction    = "25001"
	codeFailedTransaction    = "25P02"
	codeIdleTransaction      = "25P03"
	codeUndefinedPrepared    = "26000"
	codeInvalidPassword      = "28P01"
	codeUndefinedPortal      = "34000"
	codeSerializationFailure = "40001"
	codeDeadlock             = "40P01"
	codeSyntax               = "42601"
	codeUndefinedColumn      = "42703"
	codeUndefinedFunction    = "42883"
	codeUndefinedTable       = "42P01"
	codeUndefinedParam       = "42P02"
	codeDuplicateTable       = "42P07"
	codeDuplicatePrepared    = "42P05"
	codeDatatypeMismatch     = "42804"
	codeTooManyConnections   = "53300"
	codeNotReady             = "55000"
	codeFenced               = "55006"
	codeLockTimeout          = "55P03"
	codeQueryCanceled        = "57014"
	codeAdminShutdown        = "57P01"
	codeInternal             = "XX000"
)

// Error is an error response to a client.
type Error struct {
	// Code is the SQLSTATE.
	Code string
	// Message is the error text. It does not contain values of the statement.
	Message string
}

// Error returns the message and the code.
func (e *Error) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

func sqlErrorf(code, format string, args ...any) error {
	return errors.Trace(&Error{Code: code, Message: fmt.Sprintf(format, args...)})
}

// asSQLError returns the Error in the chain, or a new one with codeInternal.
func asSQLError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: codeInternal, Message: err.Error()}
}
