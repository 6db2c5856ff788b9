package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/cockroachdb/errors"
)

// maxOrderReply is the largest answer to an order, in bytes.
const maxOrderReply = 16 << 10

// errWrongOrderID means that an answer carries the ID of another order.
var errWrongOrderID = errors.New("answer is for another order")

// Client sends orders over HTTP. Each order has its own connection, which is reset at
// the order's deadline. The reset discards the bytes that the kernel has not delivered
// yet, so that an order does not arrive late when a network partition ends. The zero
// value is ready to use.
type Client struct{}

var _ Orders = (*Client)(nil)

// Send implements Orders.
func (c *Client) Send(ctx context.Context, addr string, o Order) Result {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(o.Deadline))
	defer cancel()
	if err := checkOrder(&o); err != nil {
		return Result{Outcome: NotSent, Detail: err.Error()}
	}
	body, err := json.Marshal(o)
	if err != nil {
		return Result{Outcome: NotSent, Detail: err.Error()}
	}
	conn, err := dialOrder(ctx, addr)
	if err != nil {
		return Result{Outcome: NotSent, Detail: err.Error()}
	}
	defer conn.Close()
	// Closing the connection at the deadline ends a blocked exchange.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reply, err := exchange(ctx, conn, addr, o.ID, body)
	if err == nil {
		return Result{Outcome: reply.Outcome, Reason: reply.Reason, Detail: reply.Detail}
	}
	if conn.written.Load() == 0 {
		return Result{Outcome: NotSent, Detail: err.Error()}
	}
	return Result{Outcome: Unknown, Detail: err.Error()}
}

// orderConn is the connection of one order. It counts the bytes passed to the kernel,
// and closing it discards those that are not delivered.
type orderConn struct {
	*net.TCPConn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *orderConn) Write(p []byte) (int, error) {
	// Counted before the write, because a failed write may have sent a part.
	c.written.Add(int64(len(p)))
	return c.TCPConn.Write(p)
}

// dialOrder opens the connection of one order.
func dialOrder(ctx context.Context, addr string) (*orderConn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Newf("connect: %s is not a TCP address", addr)
	}
	// With a linger time of 0, closing resets the connection and drops unsent bytes.
	if err := tcp.SetLinger(0); err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "set linger")
	}
	return &orderConn{TCPConn: tcp}, nil
}

// exchange sends the order over conn and reads its answer.
func exchange(ctx context.Context, conn net.Conn, addr, id string, body []byte) (*orderReply, error) {
	var connTaken atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if connTaken.Swap(true) {
				return nil, errors.New("an order has one connection")
			}
			return conn, nil
		},
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathOrders, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport cannot resend the order by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	return readReply(response, id)
}

// readReply decodes and checks the answer to the order with the given id.
func readReply(response *http.Response, id string) (*orderReply, error) {
	if err := upstreamconn.CheckAnswer(response); err != nil {
		return nil, err
	}
	var reply orderReply
	if err := decodeStrict(response.Body, maxOrderReply, &reply); err != nil {
		return nil, errors.Wrapf(err, "answer with status %d", response.StatusCode)
	}
	if reply.ID != id {
		return nil, errWrongOrderID
	}
	accepted := reply.Outcome == Accepted && response.StatusCode == http.StatusAccepted
	refused := reply.Outcome == Refused && response.StatusCode >= http.StatusBadRequest
	if !accepted && !refused {
		return nil, errors.Newf("answer with status %d says %q", response.StatusCode, reply.Outcome)
	}
	return &reply, nil
}
