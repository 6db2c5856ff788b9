// Package gateway is the HTTP surface towards callers: OpenAI's API for models
// and a path prefix for each plain service. It authenticates a call, has it
// admitted, claims it if it may run at most once, sends it to an upstream and
// relays the whole answer. Every other answer says whether the call was run.
package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Bounds of the HTTP surface.
const (
	// MaxBodyBytes bounds the body of one request.
	MaxBodyBytes = 8 << 20
	// MaxBodiesBytes bounds the bodies held at once, over all requests.
	MaxBodiesBytes = 96 << 20
	// MaxHeaderBytes bounds the header of one request.
	MaxHeaderBytes = 64 << 10
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the arrival of a request's body.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds how long an idle connection of a caller is kept.
	idleTimeout = 60 * time.Second
)

// Gateway serves callers.
type Gateway struct {
	contracts Contracts
	admitter  Admitter
	claims    Claims
	sender    *sender
	log       logrus.FieldLogger
	metrics   *Metrics
	stopping  atomic.Bool
	ready     atomic.Bool
	// bodies is the memory that request bodies hold, in bytes.
	bodies atomic.Int64
	// running is the number of requests in progress.
	running atomic.Int64
	// life ends when the gateway is closed.
	life context.Context
	end  context.CancelFunc
	// settleLimit is how long a planned stop waits for one outcome.
	settleLimit time.Duration
}

// New returns a gateway that is not ready until SetReady.
func New(contracts Contracts, admitter Admitter, router Router, claims Claims, log logrus.FieldLogger, metrics *Metrics) *Gateway {
	life, end := context.WithCancel(context.Background())
	return &Gateway{
		contracts:   contracts,
		admitter:    admitter,
		claims:      claims,
		sender:      newSender(router, claims, log, metrics),
		log:         log,
		metrics:     metrics,
		life:        life,
		end:         end,
		settleLimit: settleLimit,
	}
}

// SetReady sets what /readyz answers while the node does not stop.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Stop fails readiness. Requests are still served, each as the last one on its
// connection.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Stopping says whether Stop was called.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Running is the number of requests in progress.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Close drops idle connections to upstreams and gives up outcomes that could
// not be recorded.
func (g *Gateway) Close() {
	g.end()
	g.sender.close()
}

// Server returns the HTTP server for callers, without an address.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", g.serveReady)
	mux.HandleFunc("GET /v1/models", g.authorized(g.listModels))
	mux.HandleFunc("GET /v1/models/{model...}", g.authorized(g.getModel))
	mux.HandleFunc("POST /v1/chat/completions", g.authorized(g.completions))
	mux.HandleFunc("POST /v1/completions", g.authorized(g.completions))
	mux.HandleFunc("/services/{service}/{path...}", g.authorized(g.service))
	mux.HandleFunc("/", g.authorized(g.unknownPath))
	return mux
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.ready.Load() || g.contracts.Current() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

type handlerFunc func(w http.ResponseWriter, r *http.Request, c *contract.Contract) error

// authorized finds the caller's contract and sends a handler's refusal.
func (g *Gateway) authorized(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.running.Add(1)
		defer g.running.Add(-1)
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		if g.Stopping() {
			w.Header().Set("Connection", "close")
		}
		r = r.WithContext(withRequestID(r.Context(), id))
		err := g.serve(w, r, next)
		g.finish(w, r, err)
	}
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, next handlerFunc) error {
	if err := g.contracts.Current(); err != nil {
		return err
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refuse(ReasonUnauthorized, "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	c, ok := g.contracts.ByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return refuse(ReasonUnauthorized, "the bearer token belongs to no contract")
	}
	return next(w, r, c)
}

// finish counts the outcome and sends the refusal. An answer that broke off
// after its start is ended visibly broken.
func (g *Gateway) finish(w http.ResponseWriter, r *http.Request, err error) {
	if err == nil {
		g.metrics.Answered.Add(1)
		return
	}
	if errors.Is(err, errBroken) {
		g.metrics.Broken.Add(1)
		g.log.WithField("request", requestID(r.Context())).WithError(err).Warn("answer broke off")
		panic(http.ErrAbortHandler)
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = refuse(ReasonUpstreamFailed, "%v", err).withRan(RanUnknown)
	}
	g.metrics.Refused.Add(string(refusal.Reason), 1)
	g.log.WithFields(logrus.Fields{
		"request": requestID(r.Context()),
		"reason":  refusal.Reason,
		"ran":     refusal.Ran,
	}).Info("request refused")
	refusal.write(w)
}

func (g *Gateway) unknownPath(_ http.ResponseWriter, r *http.Request, _ *contract.Contract) error {
	switch r.URL.Path {
	case "/v1/models", "/v1/chat/completions", "/v1/completions":
		return refuse(ReasonMethod, "%s is not allowed here", r.Method)
	}
	return refuse(ReasonUnknownPath, "no such path: %s", r.URL.Path)
}

// readBody reads a bounded body within bodyTimeout and charges it to the
// node's memory. The caller must call the returned function when the body is no
// longer needed.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), error) {
	size := r.ContentLength
	if size > MaxBodyBytes {
		return nil, nil, refuse(ReasonTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	if size < 0 {
		size = MaxBodyBytes
	}
	if g.bodies.Add(size) > MaxBodiesBytes {
		g.bodies.Add(-size)
		return nil, nil, refuse(ReasonNoMemory, "too many request bodies are held").afterMoment()
	}
	free := func() { g.bodies.Add(-size) }
	rc := http.NewResponseController(w)
	// A recorder in tests has no deadlines; a real connection always has.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	_ = rc.SetReadDeadline(time.Time{})
	if err != nil {
		free()
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, nil, refuse(ReasonTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
		}
		return nil, nil, refuse(ReasonBadRequest, "the body could not be read whole")
	}
	return body, free, nil
}
