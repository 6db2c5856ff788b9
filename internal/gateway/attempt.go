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
	"sync"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Limits of connections to upstreams.
const (
	// dialTimeout bounds connecting to an upstream.
	dialTimeout = 1 * time.Second
	// idleUpstreamTimeout is how long an idle connection to an upstream is kept. It is
	// short because a connection that the network silently dropped is detected only
	// when it is used.
	idleUpstreamTimeout = 5 * time.Second
	// maxIdleConnsPerUpstream is the maximum number of idle connections to one upstream.
	maxIdleConnsPerUpstream = 64
	// connBufferBytes is the size of the read buffer and of the write buffer of one
	// connection.
	connBufferBytes = 2 << 10
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 256 << 10
	// maxRefusalBytes and refusalReadTimeout bound the body of a refusal, which is read so that its connection can be
	// used again.
	maxRefusalBytes    = 64 << 10
	refusalReadTimeout = 100 * time.Millisecond
)

// errAnswerAborted marks an error after which the answer can neither be completed nor
// replaced by a refusal, because a part of it may have been sent to the caller.
var errAnswerAborted = errors.New("answer ended early")

// attemptError is the error of a failed attempt.
type attemptError struct {
	// ran tells whether the attempt ran the call.
	ran Ran
	// refused reports whether the upstream refused the attempt for lack of capacity.
	refused bool
	// doubtful reports whether the answer says that the attempt was not run, and does not prove it.
	doubtful bool
	err      error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// sender sends calls to upstreams and relays their answers.
type sender struct {
	router  Router
	claims  Claims
	log     logrus.FieldLogger
	metrics *Metrics
	// pooledTransport carries repeatable calls and reuses connections.
	pooledTransport *http.Transport
	// unpooledTransport carries calls that may run at most once. net/http resends a
	// request on its own only after a reused connection failed, so this transport
	// reuses none. It also carries the calls to upstreams that do not name attempts.
	unpooledTransport *http.Transport
	// unnamed holds the addresses of upstreams that answered without the ID of the attempt. On a
	// reused connection, a late answer to an earlier attempt could not be told from the right one.
	unnamed sync.Map
	// reusedStallTimeout and streamStallTimeout bound the silence of an upstream
	// connection: of a reused one before the header of the answer, and of a stream
	// between two events.
	reusedStallTimeout time.Duration
	streamStallTimeout time.Duration
}

func newSender(router Router, claims Claims, log logrus.FieldLogger, metrics *Metrics, dial upstreamconn.Dial) *sender {
	return &sender{
		router:            router,
		claims:            claims,
		log:               log,
		metrics:           metrics,
		pooledTransport:   newTransport(dial, false),
		unpooledTransport: newTransport(dial, true),

		reusedStallTimeout: defaultReusedStallTimeout,
		streamStallTimeout: defaultStreamStallTimeout,
	}
}

// Dial connects to an upstream directly. It implements upstreamconn.Dial.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     2 * time.Second,
			Interval: time.Second,
			Count:    3,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return upstreamconn.TellResets(conn), nil
}

// newTransport returns a transport to upstreams, to which dial connects. With disableKeepAlives each
// request uses a new connection.
func newTransport(dial upstreamconn.Dial, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerUpstream,
		IdleConnTimeout:     idleUpstreamTimeout,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,

		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func (s *sender) close() {
	s.pooledTransport.CloseIdleConnections()
	s.unpooledTransport.CloseIdleConnections()
}

// attempt is one try to send a call to an upstream.
type attempt struct {
	id    string
	route Route
	// resumeFrom is the number of tokens that the caller already has, which is the
	// index of the first token to send.
	resumeFrom int
	// watchdog cancels the attempt when its connection stalls. It is nil for calls that
	// may run at most once: they are never retried on another connection for silence.
	watchdog *watchdog
}

func newAttempt(route Route) attempt {
	return attempt{id: uuid.NewString(), route: route}
}

// roundTrip sends the call once and returns the answer after its header has arrived. A
// returned error is an *attemptError.
func (s *sender) roundTrip(ctx context.Context, c *Call, a attempt) (*answer, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
		if a.watchdog != nil && info.Reused {
			a.watchdog.arm(s.reusedStallTimeout)
		}
	}}
	req, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), c, a)
	if err != nil {
		return nil, &attemptError{ran: NotRun, err: err}
	}
	transport := s.pooledTransport
	if _, unnamed := s.unnamed.Load(a.route.Addr); c.RunsOnce || unnamed {
		transport = s.unpooledTransport
	}
	resp, err := transport.RoundTrip(req)
	if a.watchdog != nil {
		a.watchdog.disarm()
	}
	if err != nil {
		if errors.Is(context.Cause(ctx), errStalled) {
			err = errStalled
			s.pooledTransport.CloseIdleConnections()
		}
		// Without a connection no byte of the request was sent.
		ran := RanUnknown
		if !connected.Load() {
			ran = NotRun
		}
		return nil, &attemptError{ran: ran, err: errors.Wrapf(err, "upstream %s", a.route.Upstream)}
	}
	if err := upstreamconn.CheckAnswer(resp); err != nil {
		_ = resp.Body.Close()
		return nil, &attemptError{ran: RanUnknown, err: errors.Wrapf(err, "upstream %s", a.route.Upstream)}
	}
	return s.checkAnswer(newAnswer(resp), a, reused.Load())
}

// newRequest builds the attempt's request to the upstream.
func (s *sender) newRequest(ctx context.Context, c *Call, a attempt) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: a.route.Addr, Path: c.Path, RawQuery: c.Query}
	req, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header = c.Header.Clone()
	req.Header.Set(headerAttempt, a.id)
	req.Header.Set(HeaderRequestID, c.ID)
	if a.resumeFrom > 0 {
		req.Header.Set(headerResumeFrom, strconv.Itoa(a.resumeFrom))
	}
	return req, nil
}

// checkAnswer returns resp, or closes it and returns an *attemptError if it belongs to
// another attempt or is a refusal that proves that the call was not run. An answer without an ID may belong
// to an earlier attempt if its connection was reused.
func (s *sender) checkAnswer(resp *answer, a attempt, reused bool) (*answer, error) {
	id := resp.header.Get(headerAttempt)
	if id == "" && !reused {
		s.unnamed.Store(a.route.Addr, struct{}{})
	}
	if id != a.id && (id != "" || reused) || resp.spliced {
		s.metrics.ForeignAnswers.Add(1)
		resp.close()
		return nil, &attemptError{ran: RanUnknown, err: errors.Newf("upstream %s answered another attempt", a.route.Upstream)}
	}
	if resp.header.Get(headerNotRun) == "true" {
		return nil, s.endRefused(resp, a, id == a.id)
	}
	return resp, nil
}

// endRefused closes an answer that says that the call was not run, and returns the *attemptError. Only the upstream can
// know that: an answer that does not name the attempt may come from anyone, and one with a status of success contradicts
// itself. After such an answer the call may have run.
func (s *sender) endRefused(resp *answer, a attempt, named bool) error {
	if named && resp.status >= http.StatusBadRequest {
		resp.discard()
		s.metrics.ProvedRefusals.Add(1)
		return &attemptError{ran: NotRun, refused: true, err: errors.Newf("upstream %s refused with status %d", a.route.Upstream, resp.status)}
	}
	resp.close()
	s.metrics.DoubtfulRefusals.Add(1)
	s.log.WithFields(logrus.Fields{"upstream": a.route.Upstream, "attempt": a.id, "status": resp.status, "named": named}).
		Warn("refusal proves nothing, the call may have run")
	return &attemptError{ran: RanUnknown, doubtful: true, err: errors.Newf("refusal with status %d is not proved to be from upstream %s", resp.status, a.route.Upstream)}
}

// answer is an upstream's response whose header has arrived and whose body is still to
// be read.
type answer struct {
	status int
	header http.Header
	body   io.ReadCloser
	// spliced reports whether the header contains the beginning of another answer.
	spliced bool
	// last reports whether the connection ends with this answer.
	last bool
}

func newAnswer(resp *http.Response) *answer {
	return &answer{status: resp.StatusCode, header: resp.Header, body: resp.Body, spliced: upstreamconn.IsSpliced(resp), last: resp.Close}
}

// close closes the body. If the body was not read to its end, this also closes the
// connection, which cancels the call at the upstream.
func (a *answer) close() { _ = a.body.Close() }

// discard reads the body to its end, so that the connection can be used again, and closes it. It gives up on a body that
// is large or slow, or that is the last on its connection.
func (a *answer) discard() {
	defer a.close()
	if a.last {
		return
	}
	timer := time.AfterFunc(refusalReadTimeout, a.close)
	defer timer.Stop()
	// An error means that the connection is not used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.body, maxRefusalBytes))
}
