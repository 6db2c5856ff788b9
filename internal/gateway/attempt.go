package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Bounds of connections to upstreams.
const (
	// dialTimeout bounds a connect to an upstream.
	dialTimeout = 1 * time.Second
	// idleUpstreamTimeout is how long an idle connection to an upstream is kept:
	// short, because a silent one is found only when it is used.
	idleUpstreamTimeout = 5 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 64
	// connBufferBytes is the read and the write buffer of one connection.
	connBufferBytes = 2 << 10
)

// errBroken marks an answer that broke off after its first byte went out.
var errBroken = errors.New("answer broke off")

// attemptError is a failed attempt.
type attemptError struct {
	ran Ran
	// refused says that the upstream had no room.
	refused bool
	err     error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// sender sends calls to upstreams.
type sender struct {
	router  Router
	claims  Claims
	log     logrus.FieldLogger
	metrics *Metrics
	// pooled carries repeatable calls.
	pooled *http.Transport
	// fresh carries calls that may run at most once. net/http resends a request
	// by itself only after a reused connection failed; here none is reused.
	fresh *http.Transport
	// reusedStall and streamStall bound the silence of connections.
	reusedStall time.Duration
	streamStall time.Duration
}

func newSender(router Router, claims Claims, log logrus.FieldLogger, metrics *Metrics) *sender {
	return &sender{
		router:  router,
		claims:  claims,
		log:     log,
		metrics: metrics,
		pooled:  newTransport(false),
		fresh:   newTransport(true),

		reusedStall: defaultReusedStall,
		streamStall: defaultStreamStall,
	}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    3,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleUpstreamTimeout,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,
	}
}

func (s *sender) close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// attempt is one sending of a call.
type attempt struct {
	id    string
	route Route
	// resumeFrom is the number of tokens the caller already has.
	resumeFrom int
	// dog watches the attempt's connection; nil for calls that may run at most
	// once, which are never given up for another connection.
	dog *watchdog
}

func newAttempt(route Route) attempt {
	return attempt{id: uuid.NewString(), route: route}
}

// roundTrip sends the call once and returns the answer once its header is here.
// The error is an *attemptError.
func (s *sender) roundTrip(ctx context.Context, c *Call, a attempt) (*answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		if a.dog != nil && info.Reused {
			a.dog.expect(s.reusedStall)
		}
	}}
	req, err := s.request(httptrace.WithClientTrace(ctx, trace), c, a)
	if err != nil {
		return nil, &attemptError{ran: NotRun, err: err}
	}
	transport := s.pooled
	if c.RunsOnce {
		transport = s.fresh
	}
	resp, err := transport.RoundTrip(req)
	if a.dog != nil {
		a.dog.rest()
	}
	if err != nil {
		if errors.Is(context.Cause(ctx), errStalled) {
			err = errStalled
			s.pooled.CloseIdleConnections()
		}
		// Without a connection nothing was written.
		ran := RanUnknown
		if !connected.Load() {
			ran = NotRun
		}
		return nil, &attemptError{ran: ran, err: errors.Wrapf(err, "upstream %s", a.route.Upstream)}
	}
	return s.checkAnswer(newAnswer(resp), a)
}

func (s *sender) request(ctx context.Context, c *Call, a attempt) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: a.route.Addr, Path: c.Path, RawQuery: c.Query}
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = c.Header.Clone()
	req.Header.Set(headerAttempt, a.id)
	req.Header.Set(HeaderRequestID, c.ID)
	if a.resumeFrom > 0 {
		req.Header.Set(headerResume, strconv.Itoa(a.resumeFrom))
	}
	return req, nil
}

// checkAnswer drops an answer to another attempt and finds refusals that prove
// that the call was not run.
func (s *sender) checkAnswer(resp *answer, a attempt) (*answer, error) {
	if id := resp.header.Get(headerAttempt); id != "" && id != a.id {
		s.metrics.Foreign.Add(1)
		resp.close()
		return nil, &attemptError{ran: RanUnknown, err: errors.Newf("upstream %s answered another attempt", a.route.Upstream)}
	}
	if resp.header.Get(headerNotRun) == "true" {
		resp.close()
		return nil, &attemptError{ran: NotRun, refused: true, err: errors.Newf("upstream %s refused with status %d", a.route.Upstream, resp.status)}
	}
	return resp, nil
}

// answer is an upstream's answer whose header is here.
type answer struct {
	status int
	header http.Header
	body   io.ReadCloser
}

func newAnswer(resp *http.Response) *answer {
	return &answer{status: resp.StatusCode, header: resp.Header, body: resp.Body}
}

// close ends an answer. Where it was not read to its end the connection goes
// with it, which cancels the call at the upstream.
func (a *answer) close() { _ = a.body.Close() }
