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

// Bounds of a resend after a lost answer.
const (
	clientTimeout = 10 * time.Second
	// memberTimeout bounds a change of members, which waits for a new member to
	// catch up. It is longer than a node's own bound, so that the answer tells.
	memberTimeout = 30 * time.Second
	clientTries   = 5
	clientBackoff = 500 * time.Millisecond
)

// APIError is a node's answer to a request that failed.
type APIError struct {
	Status int
	Body   ErrorBody
}

// Error is the node's message.
func (e *APIError) Error() string { return e.Body.Error }

// Client talks to a node's operator address.
type Client struct {
	// Addr is the IP address and port of the node.
	Addr  string
	Token string
	// Actor names the operator in the audit trail.
	Actor string
	// Stale, where set, asks for what the node knows in place of a read that is
	// proved to be current, and is told the age of the node's last proof; proved is
	// false where it never had one.
	Stale func(proofAge time.Duration, proved bool)
	http  http.Client
}

// NewClient returns a client.
func NewClient(addr, token, actor string) *Client {
	return &Client{Addr: addr, Token: token, Actor: actor}
}

// Status returns the node's view.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.read(ctx, "/v1/status", nil, &s)
}

// Contracts lists the contracts in force on the node.
func (c *Client) Contracts(ctx context.Context) ([]control.Versioned, error) {
	var list []control.Versioned
	return list, c.read(ctx, "/v1/contracts", nil, &list)
}

// Contract returns one customer's contract in force on the node.
func (c *Client) Contract(ctx context.Context, customer string) (control.Versioned, error) {
	var v control.Versioned
	return v, c.read(ctx, "/v1/contracts/"+url.PathEscape(customer), nil, &v)
}

// Apply creates or replaces a contract. It resends the change after a lost
// answer: the change id makes that safe.
func (c *Client) Apply(ctx context.Context, customer string, ch Change, yaml []byte) (control.ChangeResult, error) {
	return c.change(ctx, http.MethodPut, customer, ch, yaml)
}

// Remove ends a contract. It resends the change as Apply does.
func (c *Client) Remove(ctx context.Context, customer string, ch Change) (control.ChangeResult, error) {
	return c.change(ctx, http.MethodDelete, customer, ch, nil)
}

func (c *Client) change(ctx context.Context, method, customer string, ch Change, body []byte) (control.ChangeResult, error) {
	q := url.Values{}
	q.Set("base", strconv.FormatUint(ch.BaseVersion, 10))
	q.Set("change", ch.ChangeID)
	var res control.ChangeResult
	var err error
	for n := range clientTries {
		if n > 0 {
			pause.For(ctx, clientBackoff)
		}
		err = c.do(ctx, method, "/v1/contracts/"+url.PathEscape(customer), q, body, &res)
		if err == nil || final(err) || ctx.Err() != nil {
			return res, err
		}
	}
	return res, err
}

// final says whether a resend could not change the answer.
func final(err error) bool {
	var api *APIError
	return errors.As(err, &api) && api.Status < http.StatusInternalServerError
}

// Audit returns at most limit entries after since.
func (c *Client) Audit(ctx context.Context, since uint64, limit int) ([]control.AuditEntry, error) {
	q := url.Values{}
	q.Set("since", strconv.FormatUint(since, 10))
	q.Set("limit", strconv.Itoa(limit))
	var list []control.AuditEntry
	return list, c.read(ctx, "/v1/audit", q, &list)
}

// Members lists the control group.
func (c *Client) Members(ctx context.Context) (Members, error) {
	var m Members
	return m, c.do(ctx, http.MethodGet, "/v1/members", nil, nil, &m)
}

// ChangeMembers changes the control group.
func (c *Client) ChangeMembers(ctx context.Context, ch MemberChange) error {
	body, err := json.Marshal(ch)
	if err != nil {
		return errors.Wrap(err, "encode member change")
	}
	return c.send(ctx, memberTimeout, http.MethodPost, "/v1/members", nil, body, nil)
}

// UpstreamGone says that an incarnation of an upstream has ended for good.
func (c *Client) UpstreamGone(ctx context.Context, g Gone) error {
	body, err := json.Marshal(g)
	if err != nil {
		return errors.Wrap(err, "encode upstream")
	}
	return c.do(ctx, http.MethodPost, "/v1/upstreams/gone", nil, body, nil)
}

// Drain begins a planned stop of the node.
func (c *Client) Drain(ctx context.Context) (Status, error) {
	var s Status
	return s, c.do(ctx, http.MethodPost, "/v1/drain", nil, nil, &s)
}

// read asks for replicated state.
func (c *Client) read(ctx context.Context, path string, q url.Values, out any) error {
	if c.Stale == nil {
		return c.do(ctx, http.MethodGet, path, q, nil, out)
	}
	if q == nil {
		q = url.Values{}
	}
	q.Set(queryStale, "true")
	return c.do(ctx, http.MethodGet, path, q, nil, out)
}

func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	return c.send(ctx, clientTimeout, method, path, q, body, out)
}

// send sends one request. Where no answer comes the error is ErrUnavailable.
func (c *Client) send(ctx context.Context, limit time.Duration, method, path string, q url.Values, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
		return apiError(resp.StatusCode, data)
	}
	if c.Stale != nil && resp.Header.Get(HeaderProofAge) != "" {
		age, err := time.ParseDuration(resp.Header.Get(HeaderProofAge))
		c.Stale(age, err == nil)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}

func apiError(status int, data []byte) error {
	e := &APIError{Status: status}
	if err := json.Unmarshal(data, &e.Body); err != nil || e.Body.Error == "" {
		e.Body.Error = http.StatusText(status)
	}
	return e
}
