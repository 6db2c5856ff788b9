package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/bodybuffer"
)

// FieldError reports that a field of a message breaks a rule.
type FieldError struct {
	// Field is the path of the field, as in "replicas[2].state"; empty for the whole
	// message.
	Field string `json:"field"`
	// Rule completes the sentence that begins with the field, as in "must be positive".
	Rule string `json:"rule"`
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return "message " + e.Rule
	}
	return e.Field + " " + e.Rule
}

// bodyRetryAfter is the Retry-After of a message for which there is no memory, in seconds.
const bodyRetryAfter = "1"

// ErrTooLarge means that a message is longer than its limit.
var ErrTooLarge = errors.New("message exceeds its size limit")

// decodeStrict decodes one JSON value of at most limit bytes. It returns ErrTooLarge
// for a longer one, and a FieldError for invalid JSON, unknown fields, wrong types and
// trailing data.
func decodeStrict(r io.Reader, limit int64, into any) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Wrap(err, "read message")
	}
	if int64(len(body)) > limit {
		return ErrTooLarge
	}
	return decodeBody(body, into)
}

// decodeBody is decodeStrict for a message that was read.
func decodeBody(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fieldError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Rule: "must be a single JSON value"}
	}
	return nil
}

// fieldError converts an error of encoding/json to a FieldError.
func fieldError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return &FieldError{Field: wrongType.Field, Rule: "must be a " + wrongType.Type.String() + ", not a " + wrongType.Value}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{Field: strings.Trim(name, `"`), Rule: "is not a known field"}
	}
	return &FieldError{Rule: "must be JSON: " + err.Error()}
}

// errorReply is the body of the answer to a refused message.
type errorReply struct {
	Error FieldError `json:"error"`
}

// checkRequest reports whether a request has the right method and content type. If not,
// it has answered the request.
func checkRequest(w http.ResponseWriter, r *http.Request) bool {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		writeJSON(w, http.StatusMethodNotAllowed, errorReply{FieldError{Rule: "must be sent by POST"}})
		return false
	}
	kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || kind != "application/json" {
		writeJSON(w, http.StatusUnsupportedMediaType, errorReply{FieldError{Rule: "must be application/json"}})
		return false
	}
	return true
}

// writeDecodeError answers a message that could not be decoded.
func writeDecodeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrTooLarge), errors.Is(err, bodybuffer.ErrTooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, errorReply{FieldError{Rule: ErrTooLarge.Error()}})
		return
	case errors.Is(err, bodybuffer.ErrNoMemory):
		w.Header().Set("Retry-After", bodyRetryAfter)
		writeJSON(w, http.StatusServiceUnavailable, errorReply{FieldError{Rule: "finds no memory"}})
		return
	}
	var field *FieldError
	if errors.As(err, &field) {
		writeJSON(w, http.StatusBadRequest, errorReply{*field})
		return
	}
	writeJSON(w, http.StatusBadRequest, errorReply{FieldError{Rule: err.Error()}})
}

// writeJSON writes an answer with one JSON value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the peer has disconnected; it then repeats its message.
	_, _ = w.Write(body)
}
