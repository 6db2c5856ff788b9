package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/cockroachdb/errors"
)

const (
	// maxContractBytes bounds a contract's YAML.
	maxContractBytes = 4 << 20
	// maxAuditPage bounds the audit entries of one answer.
	maxAuditPage = 1000
	// maxNameBytes bounds a name that the audit trail keeps, and a change id.
	maxNameBytes = 128
	// maxDetailBytes bounds the reason of a refusal that the audit trail keeps.
	maxDetailBytes = 2 << 10
	// requestTimeout bounds one operator request.
	requestTimeout = 30 * time.Second
)

// ErrUnavailable marks that a change could not be decided now. It may or may
// not have been accepted; a resend with the same change id tells.
var ErrUnavailable = errors.New("control group unavailable")

// ErrRefused marks a change of members that is refused for safety.
var ErrRefused = errors.New("refused")

type server struct {
	backend Backend
	token   string
}

// NewServer returns the HTTP server for operators, without an address.
func NewServer(b Backend, token string) *http.Server {
	s := &server{backend: b, token: token}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Handle("GET /debug/vars", s.authorized(expvar.Handler().ServeHTTP))
	mux.Handle("GET /debug/pprof/", s.authorized(pprof.Index))
	mux.Handle("GET /debug/pprof/profile", s.authorized(pprof.Profile))
	mux.Handle("GET /v1/status", s.authorized(s.current(s.status)))
	mux.Handle("GET /v1/contracts", s.authorized(s.current(s.contracts)))
	mux.Handle("GET /v1/contracts/{customer}", s.authorized(s.current(s.contract)))
	mux.Handle("PUT /v1/contracts/{customer}", s.authorized(s.apply))
	mux.Handle("DELETE /v1/contracts/{customer}", s.authorized(s.remove))
	mux.Handle("GET /v1/audit", s.authorized(s.current(s.audit)))
	mux.Handle("GET /v1/members", s.authorized(s.members))
	mux.Handle("POST /v1/members", s.authorized(s.changeMembers))
	mux.Handle("POST /v1/upstreams/gone", s.authorized(s.upstreamGone))
	mux.Handle("POST /v1/drain", s.authorized(s.drain))
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       requestTimeout,
	}
}

func (s *server) authorized(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
			writeError(w, http.StatusUnauthorized, ErrorBody{Error: "an operator token is required"})
			return
		}
		next(w, r)
	})
}

// current answers a read with state that covers every change accepted before the
// read came, or says that it cannot. Who asks for a stale answer gets what the
// node knows, marked with the age of its last proof.
func (s *server) current(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get(queryStale) == "true" {
			age := "never"
			if d, proved := s.backend.ProofAge(); proved {
				age = d.String()
			}
			w.Header().Set(HeaderProofAge, age)
			next(w, r)
			return
		}
		if err := s.backend.Confirm(r.Context()); err != nil {
			writeError(w, statusOf(err), ErrorBody{Error: "not proved to be current: " + err.Error()})
			return
		}
		next(w, r)
	}
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) { writeOK(w, s.backend.Status()) }

func (s *server) contracts(w http.ResponseWriter, _ *http.Request) {
	writeOK(w, s.backend.Contracts())
}

func (s *server) contract(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	for _, v := range s.backend.Contracts() {
		if v.Contract.Customer == customer {
			writeOK(w, v)
			return
		}
	}
	writeError(w, http.StatusNotFound, ErrorBody{Error: "no contract of " + customer})
}

func actor(r *http.Request) string {
	if name := r.Header.Get(HeaderActor); name != "" {
		return shorten(name, maxNameBytes)
	}
	return "operator"
}

// shorten cuts s to at most limit bytes of valid UTF-8.
func shorten(s string, limit int) string {
	return strings.ToValidUTF8(s[:min(len(s), limit)], "")
}

// changeOf reads base version and change id from the query.
func changeOf(r *http.Request) (Change, error) {
	q := r.URL.Query()
	ch := Change{Actor: actor(r), ChangeID: q.Get("change")}
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

func (s *server) apply(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	ch, err := changeOf(r)
	if err != nil {
		s.refuseChange(w, r, "contract.apply", customer, err)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxContractBytes))
	if err != nil {
		s.refuseChange(w, r, "contract.apply", customer, errors.Newf("the contract is larger than %d bytes or broke off", maxContractBytes))
		return
	}
	c, err := contract.Decode("contract", data)
	if err == nil && c.Customer != customer {
		err = errors.Newf("customer: the contract is of %s, not of %s", c.Customer, customer)
	}
	if err != nil {
		s.refuseChange(w, r, "contract.apply", customer, err)
		return
	}
	res, err := s.backend.ApplyContract(r.Context(), ch, c)
	writeChange(w, res, err)
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) {
	customer := r.PathValue("customer")
	ch, err := changeOf(r)
	if err != nil {
		s.refuseChange(w, r, "contract.remove", customer, err)
		return
	}
	res, err := s.backend.RemoveContract(r.Context(), ch, customer)
	writeChange(w, res, err)
}

// refuseChange answers a malformed change and audits it.
func (s *server) refuseChange(w http.ResponseWriter, r *http.Request, action, subject string, err error) {
	s.backend.NoteRefusal(r.Context(), actor(r), action, shorten(subject, maxNameBytes), shorten(err.Error(), maxDetailBytes))
	body := ErrorBody{Error: err.Error()}
	errors.As(err, &body.Problems)
	writeError(w, http.StatusBadRequest, body)
}

func writeChange(w http.ResponseWriter, res control.ChangeResult, err error) {
	switch {
	case err != nil:
		writeError(w, statusOf(err), ErrorBody{Error: err.Error()})
	case res.Outcome != control.Accepted:
		writeError(w, http.StatusConflict, ErrorBody{Error: string(res.Outcome) + ": " + res.Detail, Change: &res})
	default:
		writeOK(w, res)
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrRefused):
		return http.StatusConflict
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func (s *server) audit(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	// An absent or malformed number means the default.
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxAuditPage {
		limit = maxAuditPage
	}
	writeOK(w, s.backend.Audit(since, limit))
}

func (s *server) members(w http.ResponseWriter, r *http.Request) {
	m, err := s.backend.Members(r.Context())
	if err != nil {
		writeError(w, statusOf(err), ErrorBody{Error: err.Error()})
		return
	}
	writeOK(w, m)
}

func (s *server) changeMembers(w http.ResponseWriter, r *http.Request) {
	act(w, r, s.backend.ChangeMembers)
}

func (s *server) upstreamGone(w http.ResponseWriter, r *http.Request) {
	act(w, r, s.backend.UpstreamGone)
}

// act decodes a request strictly and has it carried out.
func act[T any](w http.ResponseWriter, r *http.Request, do func(context.Context, string, T) error) {
	var body T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxContractBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	if err := do(r.Context(), actor(r), body); err != nil {
		writeError(w, statusOf(err), ErrorBody{Error: err.Error()})
		return
	}
	writeOK(w, struct{}{})
}

func (s *server) drain(w http.ResponseWriter, _ *http.Request) {
	s.backend.Drain()
	writeOK(w, s.backend.Status())
}

func writeOK(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The operator may be gone; nothing else can be told to it.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may be gone; nothing else can be told to it.
	_ = json.NewEncoder(w).Encode(body)
}

// ProblemsOf returns the problems of a refused contract, if err has any.
func ProblemsOf(err error) yamlcheck.Problems {
	var ps yamlcheck.Problems
	errors.As(err, &ps)
	return ps
}
