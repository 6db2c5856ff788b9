package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// FieldError names the field of a message that breaks a rule.
type FieldError struct {
	// Field is the path of the field, as in "replicas[2].state".
	Field string `json:"field"`
	// Rule says what the field must be.
	Rule string `json:"rule"`
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return "message " + e.Rule
	}
	return e.Field + " " + e.Rule
}

// ErrTooLarge means that a message is longer than its limit.
var ErrTooLarge = errors.New("message exceeds its size limit")

// decodeStrict reads one JSON value of at most limit bytes. Unknown fields,
// wrong types and trailing data are errors that name the field.
func decodeStrict(r io.Reader, limit int64, into any) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errors.Wrap(err, "read message")
	}
	if int64(len(body)) > limit {
		return ErrTooLarge
	}
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

// fieldError turns an error of encoding/json into a FieldError.
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

// errorReply is the body of a refused message.
type errorReply struct {
	Error FieldError `json:"error"`
}

// checkRequest refuses a wrong method or content type and says whether to go on.
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
	if errors.Is(err, ErrTooLarge) {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorReply{FieldError{Rule: err.Error()}})
		return
	}
	var field *FieldError
	if errors.As(err, &field) {
		writeJSON(w, http.StatusBadRequest, errorReply{*field})
		return
	}
	writeJSON(w, http.StatusBadRequest, errorReply{FieldError{Rule: err.Error()}})
}

// writeJSON answers with one JSON value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the peer is gone; it repeats the message.
	_, _ = w.Write(body)
}
