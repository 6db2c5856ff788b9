package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/creachadair/jrpc2"
)

// HandlerFunc handles a request or notification from the node named from and returns
// the result to send. The context ends at the caller's deadline and when the connection
// closes. A handler of notifications must not block, because the following records on
// the connection wait for it.
type HandlerFunc func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mux maps methods to their handlers. All handlers must be added before the mesh runs.
type Mux struct {
	handlers map[string]HandlerFunc
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]HandlerFunc{}} }

// Handle sets the handler of a method and replaces an earlier one.
func (m *Mux) Handle(method string, fn HandlerFunc) { m.handlers[method] = fn }

// envelope is the parameter object of every request. It contains the caller's parameters
// and timeout.
type envelope struct {
	// TimeoutMillis is the time until the caller's deadline in milliseconds; zero means
	// that there is no deadline.
	TimeoutMillis int64           `json:"t,omitempty"`
	Params        json.RawMessage `json:"p,omitempty"`
}

// newEnvelope encodes the parameters and the time until the context's deadline, at least
// one millisecond.
func newEnvelope(ctx context.Context, params any) (envelope, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return envelope{}, err
	}
	e := envelope{Params: data}
	if deadline, ok := ctx.Deadline(); ok {
		e.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	return e, nil
}

// peerAssigner implements jrpc2.Assigner for the requests of the node named from.
type peerAssigner struct {
	mux  *Mux
	from string
}

// Assign implements jrpc2.Assigner. It returns nil for an unknown method.
func (a peerAssigner) Assign(_ context.Context, method string) jrpc2.Handler {
	fn, ok := a.mux.handlers[method]
	if !ok {
		return nil
	}
	return func(ctx context.Context, req *jrpc2.Request) (any, error) {
		var e envelope
		if err := req.UnmarshalParams(&e); err != nil {
			return nil, err
		}
		if e.TimeoutMillis > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(e.TimeoutMillis)*time.Millisecond)
			defer cancel()
		}
		return fn(ctx, a.from, e.Params)
	}
}
