package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/cockroachdb/errors"
)

// Timeouts of the client, and limits of its resends of a contract change.
const (
	// clientTimeout limits one request other than a member change.
	clientTimeout = 10 * time.Second
	// memberChangeTimeout limits a change of members, which waits for a new member to
	// catch up. It exceeds the node's own limit, so that the node's answer arrives
	// before the client gives up.
	memberChangeTimeout = 30 * time.Second
	maxChangeAttempts   = 5
	changeRetryDelay    = 500 * time.Millisecond
)

// APIError is a node's answer with an HTTP status other than 200.
type APIError struct {
	// Status is the HTTP status.
	Status int
	Body   ErrorBody
}

// Error returns the node's message.
func (e *APIError) Error() string { return e.Body.Error }

// Client sends requests to the operator API of one node.
type Client struct {
	// Addr is the IP address and port of the node's operator API.
	Addr string
	// Token is the operators' bearer token.
	Token string
	// Actor is the operator's name in the audit trail.
	Actor string
	// OnStale, if not nil, makes reads return what the node knows instead of state that
	// is proved to be current. It is called with the age of the node's last proof;
	// proved is false if the node never had one.
	OnStale func(proofAge time.Duration, proved bool)
	http    http.Client
}

// NewClient returns a client of the node at addr, an IP address and port.
func NewClient(addr, token, actor string) *Client {
	return &Client{Addr: addr, Token: token, Actor: actor}
}

// Status returns the node's view of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.readState(ctx, "/v1/status", nil, &s)
}

// Contracts lists the contracts in force on the node.
func (c *Client) Contracts(ctx context.Context) ([]control.VersionedContract, error) {
	var list []control.VersionedContract
	return list, c.readState(ctx, "/v1/contracts", nil, &list)
}

// Contract returns one customer's contract in force on the node.
func (c *Client) Contract(ctx context.Context, customer string) (control.VersionedContract, error) {
	var v control.VersionedContract
	return v, c.readState(ctx, "/v1/contracts/"+url.PathEscape(customer), nil, &v)
}

// Apply creates or replaces a contract, given as YAML. It resends the change if the
// answer is lost or undecided, which the change id makes safe.
func (c *Client) Apply(ctx context.Context, customer string, ch Change, yaml []byte) (control.ChangeResult, error) {
	return c.sendContractChange(ctx, http.MethodPut, customer, ch, yaml)
}

// Remove ends a customer's contract. It resends the change as Apply does.
func (c *Client) Remove(ctx context.Context, customer string, ch Change) (control.ChangeResult, error) {
	return c.sendContractChange(ctx, http.MethodDelete, customer, ch, nil)
}

// sendContractChange sends a contract change until a final answer arrives, ctx ends
// or maxChangeAttempts is reached.
func (c *Client) sendContractChange(ctx context.Context, method, customer string, ch Change, body []byte) (control.ChangeResult, error) {
	q := url.Values{}
	q.Set("base", strconv.FormatUint(ch.BaseVersion, 10))
	q.Set("change", ch.ChangeID)
	var res control.ChangeResult
	var err error
	for attempt := range maxChangeAttempts {
		if attempt > 0 {
			pause.For(ctx, changeRetryDelay)
		}
		err = c.do(ctx, method, "/v1/contracts/"+url.PathEscape(customer), q, body, &res)
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return res, err
		}
	}
	return res, err
}

// isFinal reports whether err is a node's answer that a resend would not change.
func isFinal(err error) bool {
	var api *APIError
	return errors.As(err, &api) && api.Status < http.StatusInternalServerError
}

// Audit returns at most limit audit entries whose sequence number is above since.
func (c *Client) Audit(ctx context.Context, since uint64, limit int) ([]control.AuditEntry, error) {
	q := url.Values{}
	q.Set("since", strconv.FormatUint(since, 10))
	q.Set("limit", strconv.Itoa(limit))
	var list []control.AuditEntry
	return list, c.readState(ctx, "/v1/audit", q, &list)
}

// Members lists the members of the control group.
func (c *Client) Members(ctx context.Context) (Members, error) {
	var m Members
	return m, c.do(ctx, http.MethodGet, "/v1/members", nil, nil, &m)
}

// ChangeMembers adds, removes or replaces a member of the control group.
func (c *Client) ChangeMembers(ctx context.Context, ch MemberChange) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return errors.Wrap(err, "encode member change")
	}
	return c.doWithTimeout(ctx, memberChangeTimeout, http.MethodPost, "/v1/members", nil, body, nil)
}

// UpstreamGone reports that an incarnation of an upstream has ended for good.
func (c *Client) UpstreamGone(ctx context.Context, g Gone) error {
	body, err := json.Marshal(g)
	if err != nil {
		return errors.Wrap(err, "encode report of an ended upstream")
	}
	return c.do(ctx, http.MethodPost, "/v1/upstreams/gone", nil, body, nil)
}

// Drain begins a planned stop of the node and returns the node's status.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodPost, "/v1/drain", nil, nil, &s)
}

// readState requests replicated state, which may be stale only if c.OnStale is set.
func (c *Client) readState(ctx context.Context, path string, q url.Values, out any) error {
	if c.OnStale == nil {
		return c.do(ctx, http.MethodGet, path, q, nil, out)
	}
	if q == nil {
		q = url.Values{}
	}
	q.Set(staleQueryParam, "true")
	return c.do(ctx, http.MethodGet, path, q, nil, out)
}

// do sends one request with clientTimeout.
func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	return c.doWithTimeout(ctx, clientTimeout, method, path, q, body, out)
}

// doWithTimeout sends one request and decodes the JSON answer into out, unless out is
// nil. The error is an *APIError if the node answers with a status other than 200,
// and is marked with ErrUnavailable if no complete answer arrives.
func (c *Client) doWithTimeout(ctx context.Context, timeout time.Duration, method, path string, q url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.Addr, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set(HeaderActor, c.Actor)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "node %s", c.Addr), ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "node %s", c.Addr), ErrUnavailable)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeAPIError(resp.StatusCode, data)
	}
	if c.OnStale != nil && resp.Header.Get(HeaderProofAge) != "" {
		age, err := time.ParseDuration(resp.Header.Get(HeaderProofAge))
		c.OnStale(age, err == nil)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

// decodeAPIError returns an *APIError; its message is the text of the HTTP status if
// the body holds none.
func decodeAPIError(status int, data []byte) error {
	e := &APIError{Status: status}
	if err := json.Unmarshal(data, &e.Body); err != nil || e.Body.Error == "" {
		e.Body.Error = http.StatusText(status)
	}
	return e
}
