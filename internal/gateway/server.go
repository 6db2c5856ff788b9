// Package gateway implements the HTTP server for callers: the OpenAI API for models,
// and a path prefix for each plain service. It authenticates a call, waits for its
// admission, claims it if it may run at most once, sends it to an upstream and relays
// the answer. Every other response tells whether the call was run.
package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/bodybuffer"
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Limits of the HTTP server.
const (
	// MaxBodyBytes is the maximum size of one request body.
	MaxBodyBytes = 8 << 20
	// MaxHeaderBytes is the maximum size of one request header.
	MaxHeaderBytes = 64 << 10
	// headerTimeout bounds the time until the header of a request has arrived.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time until the body of a request has arrived.
	bodyTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 60 * time.Second
)

// Gateway serves callers' requests.
type Gateway struct {
	contracts Contracts
	admitter  Admitter
	claims    Claims
	sender    *sender
	log       logrus.FieldLogger
	metrics   *Metrics
	stopping  atomic.Bool
	ready     atomic.Bool
	bodies    bodybuffer.Intake
	// running is the number of requests and background tasks in progress.
	running atomic.Int64
	// closeCtx ends when the gateway is closed; cancelCloseCtx ends it.
	closeCtx       context.Context
	cancelCloseCtx context.CancelFunc
	// recordTimeout is set to the constant recordTimeout; tests shorten it.
	recordTimeout time.Duration
}

// New returns a gateway that reports itself not ready until SetReady(true). dial connects to upstreams, as
// Dial does.
func New(
	contracts Contracts, admitter Admitter, router Router, claims Claims, bodies bodybuffer.Intake,
	log logrus.FieldLogger, metrics *Metrics, dial upstreamconn.Dial,
) *Gateway {
	closeCtx, cancelCloseCtx := context.WithCancel(context.Background())
	return &Gateway{
		contracts:      contracts,
		admitter:       admitter,
		claims:         claims,
		bodies:         bodies,
		sender:         newSender(router, claims, log, metrics, dial),
		log:            log,
		metrics:        metrics,
		closeCtx:       closeCtx,
		cancelCloseCtx: cancelCloseCtx,
		recordTimeout:  recordTimeout,
	}
}

// SetReady sets whether /readyz may report that the node is ready. After Stop, or while
// the contracts are not current, it reports that the node is not ready.
func (g *Gateway) SetReady(ready bool) { g.ready.Store(ready) }

// Stop makes /readyz report that the node is not ready. Requests are still served, but
// each response closes its connection.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (g *Gateway) Stopping() bool { return g.stopping.Load() }

// Running returns the number of requests in progress, including outcomes that are still
// being recorded.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Close closes idle connections to upstreams and gives up recording outcomes that are
// not recorded yet.
func (g *Gateway) Close() {
	g.cancelCloseCtx()
	g.sender.close()
}

// Server returns an HTTP server for callers. The caller of Server sets its address.
func (g *Gateway) Server() *http.Server {
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// ConnLimits returns the limits of a connection of a caller.
func ConnLimits() connlimit.Limits {
	return connlimit.Limits{HeadBytes: MaxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout, BodyTime: bodyTimeout}
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", g.serveReady)
	mux.HandleFunc("GET /v1/models", g.authorized(g.listModels))
	mux.HandleFunc("GET /v1/models/{model...}", g.authorized(g.getModel))
	mux.HandleFunc("POST /v1/chat/completions", g.authorized(g.serveCompletion))
	mux.HandleFunc("POST /v1/completions", g.authorized(g.serveCompletion))
	mux.HandleFunc("/services/{service}/{path...}", g.authorized(g.serveService))
	mux.HandleFunc("/", g.authorized(g.serveUnknownPath))
	return mux
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.ready.Load() || g.contracts.CheckCurrent() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handlerFunc serves an authenticated request. Its error is a *Refusal, or is marked
// with errAnswerAborted; any other error becomes a refusal whose Ran is RanUnknown.
type handlerFunc func(w http.ResponseWriter, r *http.Request, c *contract.Contract) error

// authorized returns a handler that authenticates the request, calls next with the
// customer's contract, counts the outcome and sends the refusal if next returns one.
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
		err := g.authenticateAndServe(w, r, next)
		g.finishRequest(w, r, err)
	}
}

// authenticateAndServe finds the contract that the bearer token belongs to and calls
// next with it.
func (g *Gateway) authenticateAndServe(w http.ResponseWriter, r *http.Request, next handlerFunc) error {
	if err := g.contracts.CheckCurrent(); err != nil {
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

// finishRequest counts the outcome and sends the refusal, if any. If the answer ended early,
// it aborts the connection, so that the caller cannot take the answer for complete.
func (g *Gateway) finishRequest(w http.ResponseWriter, r *http.Request, err error) {
	if err == nil {
		g.metrics.Answered.Add(1)
		return
	}
	if errors.Is(err, errAnswerAborted) {
		g.metrics.Broken.Add(1)
		g.log.WithField("request", requestID(r.Context())).WithError(err).Warn("answer ended early")
		if !r.ProtoAtLeast(1, 1) {
			resetCaller(w)
		}
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

// resetCaller resets the connection of a caller that speaks HTTP/1.0: without chunks, the usual end of a connection is that of the answer.
func resetCaller(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // as on the response recorder of tests
	}
	defer conn.Close()
	inner := conn
	if limited, ok := conn.(*connlimit.Conn); ok {
		inner = limited.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only on a connection that has ended
	}
}

// serveUnknownPath refuses a request that matches no route: for its method if the path
// exists, otherwise for its path.
func (g *Gateway) serveUnknownPath(_ http.ResponseWriter, r *http.Request, _ *contract.Contract) error {
	switch r.URL.Path {
	case "/v1/models", "/v1/chat/completions", "/v1/completions":
		return refuse(ReasonMethodNotAllowed, "%s is not allowed here", r.Method)
	}
	return refuse(ReasonUnknownPath, "no such path: %s", r.URL.Path)
}

// readBody reads a body of at most MaxBodyBytes within bodyTimeout. It waits for a while if the bodies of other requests take all
// memory. The caller must call the returned function when it no longer needs the body.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), error) {
	if r.ContentLength > MaxBodyBytes {
		return nil, nil, refuse(ReasonTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	rc := http.NewResponseController(w)
	// Setting a deadline fails only on the response recorder of tests, which has none.
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, share, err := g.bodies.Read(w, r, MaxBodyBytes)
	switch {
	case errors.Is(err, bodybuffer.ErrTooLarge):
		return nil, nil, refuse(ReasonTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	case errors.Is(err, bodybuffer.ErrNoMemory):
		return nil, nil, refuse(ReasonNoMemory, "too many request bodies are held").withDefaultRetryAfter()
	case err != nil:
		return nil, nil, refuse(ReasonBadRequest, "the body could not be read whole")
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, share.Release, nil
}
