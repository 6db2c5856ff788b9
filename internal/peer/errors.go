package peer

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/creachadair/jrpc2"
)

var (
	// ErrNotSent says that no byte of a request was written, so that it was
	// not run.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknown says that a request may have been sent and that no answer
	// came, so that it may have been run.
	ErrUnknown = errors.New("request has no answer")

	errHandshake = errors.New("handshake failed")
	errQueueFull = errors.New("send queue is full")
	errClosed    = errors.New("connection is closed")
)

// Code tells the errors of handlers apart. Codes of the application are
// positive; negative ones are those of JSON-RPC.
type Code int32

// Codes that this package itself returns.
const (
	// CodeNoMethod says that the peer has no handler for the method.
	CodeNoMethod = Code(jrpc2.MethodNotFound)
	// CodeInternal is the code of a handler's error that has none.
	CodeInternal = Code(jrpc2.SystemError)
)

// RemoteError is an error that a handler returned. The request was run.
type RemoteError struct {
	// Code tells what went wrong.
	Code Code
	// Message is for people.
	Message string
}

// Errorf returns a RemoteError, for handlers.
func Errorf(code Code, format string, args ...any) *RemoteError {
	return &RemoteError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Message + codeSuffix(e.Code) }

func codeSuffix(c Code) string { return fmt.Sprintf(" (code %d)", c) }

// ErrCode implements jrpc2.ErrCoder.
func (e *RemoteError) ErrCode() jrpc2.Code { return jrpc2.Code(e.Code) }

// CodeOf returns the code of a handler's error, and false for other errors.
func CodeOf(err error) (Code, bool) {
	var remote *RemoteError
	if !errors.As(err, &remote) {
		return 0, false
	}
	return remote.Code, true
}

// answerError converts an error in an answer. The library gives requests that
// were cut off codes of its own; whether those were run is unknown.
func answerError(e *jrpc2.Error) error {
	switch e.Code {
	case jrpc2.Cancelled, jrpc2.DeadlineExceeded, jrpc2.InternalError:
		return errors.Wrapf(ErrUnknown, "%s", e.Message)
	default:
		// The library sends Error's text, which names the code a second time.
		return &RemoteError{Code: Code(e.Code), Message: strings.TrimSuffix(e.Message, codeSuffix(Code(e.Code)))}
	}
}

func notSent(cause error) error {
	return errors.Mark(errors.Wrap(cause, "request was not sent"), ErrNotSent)
}
