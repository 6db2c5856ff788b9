package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
)

const (
	// maxBodyBytes limits a contract's YAML.
	maxBodyBytes = 4 << 20
	// maxCommandBytes limits the JSON of a command, which names a member or an upstream.
	maxCommandBytes = 64 << 10
	// decodedRatio is the memory of a contract while it is decoded, per byte of its YAML: its
	// tokens, its syntax tree and its fields.
	decodedRatio = 512
	// bodyRetryAfter is the Retry-After of a request for whose body there is no memory, in
	// seconds.
	bodyRetryAfter = "1"
	// maxAuditPage limits the audit entries in one answer.
	maxAuditPage = 1000
	// maxNameBytes limits a change id, a customer's name in a change, and the names in
	// an audit entry, because audit entries are kept for good.
	maxNameBytes = 128
	// maxDetailBytes limits the reason of a refusal in an audit entry.
	maxDetailBytes = 2 << 10
	// requestTimeout limits how long a request takes to arrive, and how long an idle
	// connection stays open.
	requestTimeout = 30 * time.Second
)

// ErrUnavailable marks the error of a request that the control group could not decide
// or answer at present. A change may or may not have been accepted; resending it with
// the same change id returns the outcome.
var ErrUnavailable = errors.New("control group unavailable")

// ErrRefused marks the error of a change of members, or of a report of an ended
// upstream, that is invalid or would be unsafe.
var ErrRefused = errors.New("refused")

type server struct {
	backend Backend
	token   string
	bodies  bodybuffer.Intake
}

// NewServer returns the HTTP server of the operator API, without an address. Every
// path except /healthz requires token as the bearer token. Bodies, and what is decoded
// from them, stay within the budget of bodies.
func NewServer(b Backend, token string, bodies bodybuffer.Intake) *http.Server {
	s := &server{backend: b, token: token, bodies: bodies}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /debug/vars", s.requireToken(expvar.Handler().ServeHTTP))
	mux.Handle("GET /debug/pprof/", s.requireToken(pprof.Index))
	mux.Handle("GET /debug/pprof/profile", s.requireToken(pprof.Profile))
	mux.Handle("GET /v1/status", s.requireToken(s.requireCurrentState(s.getStatus)))
	mux.Handle("GET /v1/contracts", s.requireToken(s.requireCurrentState(s.listContracts)))
	mux.Handle("GET /v1/contracts/{customer}", s.requireToken(s.requireCurrentState(s.getContract)))
	mux.Handle("PUT /v1/contracts/{customer}", s.requireToken(s.applyContract))
	mux.Handle("DELETE /v1/contracts/{customer}", s.requireToken(s.removeContract))
	mux.Handle("GET /v1/audit", s.requireToken(s.requireCurrentState(s.listAudit)))
	mux.Handle("GET /v1/members", s.requireToken(s.listMembers))
	mux.Handle("POST /v1/members", s.requireToken(s.changeMembers))
	mux.Handle("POST /v1/upstreams/gone", s.requireToken(s.upstreamGone))
	mux.Handle("POST /v1/drain", s.requireToken(s.drain))
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       requestTimeout,
	}
}

// ConnLimits returns the limits of an operator's connection.
func ConnLimits() connlimit.Limits {
	return connlimit.Limits{HeadTime: requestTimeout, IdleTime: requestTimeout, BodyTime: requestTimeout}
}

// requireToken answers 401 unless the request carries the operator token.
func (s *server) requireToken(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			writeError(w, http.StatusUnauthorized, ErrorBody{Error: "an operator token is required"})
			return
		}
		next(w, r)
	})
}

// requireCurrentState runs next once the node's state covers every change that was
// accepted before the request arrived, and answers with an error if the node cannot
// prove that. A request with staleQueryParam=true gets what the node knows at once,
// with the age of the node's last proof in HeaderProofAge.
func (s *server) requireCurrentState(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get(staleQueryParam) == "true" {
			age := "never"
			if d, proved := s.backend.ProofAge(); proved {
				age = d.String()
			}
			w.Header().Set(HeaderProofAge, age)
			next(w, r)
			return
		}
		if err := s.backend.ConfirmCurrent(r.Context()); err != nil {
			writeError(w, httpStatusOf(err), ErrorBody{Error: "not proved to be current: " + err.Error()})
			return
		}
		next(w, r)
	}
}

func (s *server) getStatus(w http.ResponseWriter, _ *http.Request) { writeOK(w, s.backend.Status()) }

func (s *server) listContracts(w http.ResponseWriter, _ *http.Request) {
	writeOK(w, s.backend.Contracts())
}

func (s *server) getContract(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	for _, v := range s.backend.Contracts() {
		if v.Contract.Customer == customer {
			writeOK(w, v)
			return
		}
	}
	writeError(w, http.StatusNotFound, ErrorBody{Error: "no contract of " + customer})
}

// actorOf returns the operator's name for the audit trail, "operator" if the request
// names none.
func actorOf(r *http.Request) string {
	if name := r.Header.Get(HeaderActor); name != "" {
		return truncate(name, maxNameBytes)
	}
	return "operator"
}

// truncate shortens s to at most limit bytes of valid UTF-8.
func truncate(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}

// parseChange reads the base version and the change id from the query, and checks the
// length of the customer's name in the path.
func parseChange(r *http.Request) (Change, error) {
	q := r.URL.Query()
	ch := Change{Actor: actorOf(r), ChangeID: q.Get("change")}
	if ch.ChangeID == "" || len(ch.ChangeID) > maxNameBytes {
		return ch, errors.Newf("change: a change id of 1 to %d bytes is required", maxNameBytes)
	}
	if len(r.PathValue("customer")) > maxNameBytes {
		return ch, errors.Newf("customer: the name is longer than %d bytes", maxNameBytes)
	}
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil {
		return ch, errors.New("base: a version number is required; 0 creates a contract")
	}
	ch.BaseVersion = base
	return ch, nil
}

func (s *server) applyContract(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	ch, err := parseChange(r)
	if err != nil {
		s.rejectChange(w, r, "contract.apply", customer, err)
		return
	}
	data, held, err := s.bodies.Read(w, r, maxBodyBytes)
	if err == nil {
		defer held.Release()
		err = held.Reserve(decodedRatio * int64(len(data)))
	}
	switch {
	case errors.Is(err, bodybuffer.ErrNoMemory):
		writeNoMemory(w)
		return
	case errors.Is(err, bodybuffer.ErrTooLarge):
		s.rejectChange(w, r, "contract.apply", customer, errors.Newf("the contract is larger than %d bytes or than the node's memory allows", maxBodyBytes))
		return
	case err != nil:
		s.rejectChange(w, r, "contract.apply", customer, errors.New("the contract broke off"))
		return
	}
	c, err := contract.Decode("contract", data)
	if err == nil && c.Customer != customer {
		err = errors.Newf("customer: the contract is of %s, not of %s", c.Customer, customer)
	}
	if err != nil {
		s.rejectChange(w, r, "contract.apply", customer, err)
		return
	}
	res, err := s.backend.ApplyContract(r.Context(), ch, c)
	writeChangeResult(w, res, err)
}

func (s *server) removeContract(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	ch, err := parseChange(r)
	if err != nil {
		s.rejectChange(w, r, "contract.remove", customer, err)
		return
	}
	res, err := s.backend.RemoveContract(r.Context(), ch, customer)
	writeChangeResult(w, res, err)
}

// rejectChange answers 400 to a malformed change and records it in the audit trail.
func (s *server) rejectChange(w http.ResponseWriter, r *http.Request, action, subject string, err error) {
	s.backend.AuditRefusal(r.Context(), actorOf(r), action, truncate(subject, maxNameBytes), truncate(err.Error(), maxDetailBytes))
	body := ErrorBody{Error: err.Error()}
	errors.As(err, &body.Problems)
	writeError(w, http.StatusBadRequest, body)
}

// writeChangeResult answers with the outcome of a change: 409 if it was decided and
// not accepted.
func writeChangeResult(w http.ResponseWriter, res control.ChangeResult, err error) {
	switch {
	case err != nil:
		writeError(w, httpStatusOf(err), ErrorBody{Error: err.Error()})
	case res.Outcome != control.Accepted:
		writeError(w, http.StatusConflict, ErrorBody{Error: string(res.Outcome) + ": " + res.Detail, Change: &res})
	default:
		writeOK(w, res)
	}
}

// httpStatusOf returns the HTTP status for an error of the backend.
func httpStatusOf(err error) int {
	switch {
	case errors.Is(err, ErrRefused):
		return http.StatusConflict
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func (s *server) listAudit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	// A missing or malformed since means 0, a missing or invalid limit maxAuditPage.
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxAuditPage {
		limit = maxAuditPage
	}
	writeOK(w, s.backend.Audit(since, limit))
}

func (s *server) listMembers(w http.ResponseWriter, r *http.Request) {
	m, err := s.backend.Members(r.Context())
	if err != nil {
		writeError(w, httpStatusOf(err), ErrorBody{Error: err.Error()})
		return
	}
	writeOK(w, m)
}

func (s *server) changeMembers(w http.ResponseWriter, r *http.Request) {
	runCommand(s, w, r, s.backend.ChangeMembers)
}

func (s *server) upstreamGone(w http.ResponseWriter, r *http.Request) {
	runCommand(s, w, r, s.backend.UpstreamGone)
}

// runCommand decodes the JSON body of a request and passes it to run. Unknown fields
// are refused, so that a misspelled one is not ignored.
func runCommand[T any](s *server, w http.ResponseWriter, r *http.Request, run func(context.Context, string, T) error) {
	data, held, err := s.bodies.Read(w, r, maxCommandBytes)
	switch {
	case errors.Is(err, bodybuffer.ErrNoMemory):
		writeNoMemory(w)
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	defer held.Release()
	var body T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	if err := run(r.Context(), actorOf(r), body); err != nil {
		writeError(w, httpStatusOf(err), ErrorBody{Error: err.Error()})
		return
	}
	writeOK(w, struct{}{})
}

func (s *server) drain(w http.ResponseWriter, _ *http.Request) {
	s.backend.Drain()
	writeOK(w, s.backend.Status())
}

// writeNoMemory answers a request that has not run because other bodies take all memory.
func writeNoMemory(w http.ResponseWriter) {
	w.Header().Set("Retry-After", bodyRetryAfter)
	writeError(w, http.StatusServiceUnavailable, ErrorBody{Error: bodybuffer.ErrNoMemory.Error()})
}

func writeOK(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// ProblemsOf returns the problems of an invalid contract, or nil if err has none.
func ProblemsOf(err error) yamlcheck.Problems {
	var ps yamlcheck.Problems
	errors.As(err, &ps)
	return ps
}
