package peer

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
)

var (
	// ErrNotSent means that no byte of the request was written, so that the peer's
	// handler did not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrOutcomeUnknown means that the request may have been sent but that no usable
	// response arrived, so that the peer's handler may have run.
	ErrOutcomeUnknown = errors.New("request has no answer")

	errHandshake = errors.New("handshake failed")
	errQueueFull = errors.New("send queue is full")
	errClosed    = errors.New("connection is closed")
)

// Code identifies the kind of a RemoteError. Application codes are positive; JSON-RPC
// codes are negative.
type Code int32

// Codes that this package and jrpc2 set.
const (
	// CodeNoMethod means that the peer has no handler for the method.
	CodeNoMethod = Code(jrpc2.MethodNotFound)
	// CodeInternal is the code of a handler's error that is not a RemoteError.
	CodeInternal = Code(jrpc2.SystemError)
)

// RemoteError is an error response from a peer: the error of a handler that ran, or an
// error of JSON-RPC such as CodeNoMethod.
type RemoteError struct {
	// Code identifies the kind of error.
	Code Code
	// Message is a human-readable description.
	Message string
}

// Errorf returns a RemoteError with a formatted message. Handlers return it to send a
// code to the caller.
func Errorf(code Code, format string, args ...any) *RemoteError {
	return &RemoteError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message + codeSuffix(e.Code) }

// codeSuffix returns the part of RemoteError.Error that follows the message.
func codeSuffix(c Code) string { return fmt.Sprintf(" (code %d)", c) }

// ErrCode implements jrpc2.ErrCoder.
func (e *RemoteError) ErrCode() jrpc2.Code { return jrpc2.Code(e.Code) }

// CodeOf returns the code of the RemoteError in err's chain, and false if there is none.
func CodeOf(err error) (Code, bool) {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return 0, false
	}
	return remote.Code, true
}

// convertResponseError converts the error of a failed request to a RemoteError. For the
// codes that jrpc2 itself sets on requests that were cut off before a response arrived,
// it returns ErrOutcomeUnknown, because those requests may have run.
func convertResponseError(e *jrpc2.Error) error {
	switch e.Code {
	case jrpc2.Cancelled, jrpc2.DeadlineExceeded, jrpc2.InternalError:
		return errors.Wrapf(ErrOutcomeUnknown, "%s", e.Message)
	default:
		// jrpc2 sends the text of RemoteError.Error, which already contains the code.
		return &RemoteError{Code: Code(e.Code), Message: strings.TrimSuffix(e.Message, codeSuffix(Code(e.Code)))}
	}
}

// notSent wraps a cause and marks the result as ErrNotSent.
func notSent(cause error) error {
	return errors.Mark(errors.Wrap(cause, "request was not sent"), ErrNotSent)
}
