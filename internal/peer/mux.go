package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/creachadair/jrpc2"
)

// HandlerFunc answers one request or notification of the node named from. Its
// context ends with the caller's deadline and with the connection. A
// notification's handler must return at once, because what follows on the
// connection waits for it.
type HandlerFunc func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Mux holds the handlers by method. Handlers are added before the mesh runs.
type Mux struct {
	handlers map[string]HandlerFunc
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]HandlerFunc{}} }

// Handle sets the handler of a method.
func (m *Mux) Handle(method string, fn HandlerFunc) { m.handlers[method] = fn }

// envelope carries the parameters of a request with its remaining time.
type envelope struct {
	// TimeoutMillis is the time that the caller still waits; zero means no end.
	TimeoutMillis int64           `json:"t,omitempty"`
	Params        json.RawMessage `json:"p,omitempty"`
}

// seal encodes parameters and the time left in the context.
func seal(ctx context.Context, params any) (envelope, error) {
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

// assigner finds the handlers for the requests of one node.
type assigner struct {
	mux  *Mux
	from string
}

// Assign implements jrpc2.Assigner.
func (a assigner) Assign(_ context.Context, method string) jrpc2.Handler {
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
