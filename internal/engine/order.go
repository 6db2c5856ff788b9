package engine

import (
	"context"
	"fmt"
	"net/http"
)

// MaxOrder is the largest order, in bytes.
const MaxOrder = 64 << 10

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	// Load asks to load a replica of a model.
	Load OrderKind = "load"
	// Unload asks to unload the replica of a grant.
	Unload OrderKind = "unload"
	// LoadAdapter asks to load an adapter into the replica of a grant.
	LoadAdapter OrderKind = "load-adapter"
	// UnloadAdapter asks to unload an adapter from the replica of a grant.
	UnloadAdapter OrderKind = "unload-adapter"
	// SetVersion asks to serve another version of the replica's model.
	SetVersion OrderKind = "set-version"
	// SetRole asks to change the role of the replica.
	SetRole OrderKind = "set-role"
)

// Order is an order to an upstream. The upstream accepts or refuses it at once and
// reports the result in its announcements. An order with the ID of an accepted one is
// accepted again but not executed again.
type Order struct {
	// ID identifies the order. The answer repeats it.
	ID string `json:"id"`
	// Kind is the kind of order.
	Kind OrderKind `json:"kind"`
	// Upstream is the name of the intended upstream.
	Upstream string `json:"upstream"`
	// Incarnation is the intended incarnation of the upstream.
	Incarnation uint64 `json:"incarnation"`
	// Fencing is a token that grows with each leader. An upstream that checks it
	// refuses an order whose token is smaller than one it has seen.
	Fencing uint64 `json:"fencing"`
	// Grant identifies the replica that the order concerns.
	Grant uint64 `json:"grant"`
	// Model is the model to load, or the model of the grant.
	Model string `json:"model"`
	// Memory is the accelerator memory that a load may take, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Adapter is set for LoadAdapter and UnloadAdapter.
	Adapter string `json:"adapter,omitempty"`
	// Version is set for SetVersion.
	Version string `json:"version,omitempty"`
	// Role is set for SetRole.
	Role string `json:"role,omitempty"`
	// Deadline is how long the sender waits for the answer, including the time to
	// connect. It must end within the sender's lease.
	Deadline Millis `json:"deadline"`
}

// Outcome is the result of sending an order.
type Outcome string

// Outcomes of an order.
const (
	// Accepted means that the upstream executes the order.
	Accepted Outcome = "accepted"
	// Refused means that the upstream did nothing.
	Refused Outcome = "refused"
	// Unknown means that the order may have reached the upstream, but no valid answer
	// came.
	Unknown Outcome = "unknown"
	// NotSent means that certainly no byte of the order was sent.
	NotSent Outcome = "not-sent"
)

// Reason is why an upstream refused an order.
type Reason string

// Reasons of refusals.
const (
	// StaleFencing means that the upstream has seen an order of a newer leader.
	StaleFencing Reason = "stale-fencing"
	// OutOfMemory means that the load does not fit into the free memory.
	OutOfMemory Reason = "out-of-memory"
	// UnknownGrant means that no replica has the order's grant.
	UnknownGrant Reason = "unknown-grant"
	// UnknownModel means that no copy of the model is reachable.
	UnknownModel Reason = "unknown-model"
	// NotReady means that the replica is not ready for the order.
	NotReady Reason = "not-ready"
	// Leaving means that the upstream takes no new work.
	Leaving Reason = "leaving"
	// WrongUpstream means that another upstream or incarnation now has the address.
	WrongUpstream Reason = "wrong-upstream"
	// Unsupported means that the upstream does not know the kind of order.
	Unsupported Reason = "unsupported"
	// Invalid means that a field of the order is invalid; Detail names it.
	Invalid Reason = "invalid"
)

// Result is the outcome of sending an order, and its reason.
type Result struct {
	// Outcome is the outcome.
	Outcome Outcome
	// Reason is set if the outcome is Refused.
	Reason Reason
	// Detail explains the outcome to an operator.
	Detail string
}

// Orders sends orders to upstreams.
type Orders interface {
	// Send sends one order to the upstream at addr and returns the result. It returns
	// within the order's deadline, or earlier if ctx ends.
	Send(ctx context.Context, addr string, o Order) Result
}

// orderReply is the body of the answer to an order.
type orderReply struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// OrdersHandler serves PathOrders for an upstream written in Go. execute gets only
// valid orders and returns Accepted or Refused.
func OrdersHandler(execute func(ctx context.Context, o Order) Result) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !checkRequest(w, r) {
			return
		}
		var order Order
		err := decodeStrict(r.Body, MaxOrder, &order)
		if err == nil {
			err = checkOrder(&order)
		}
		if err != nil {
			reply := orderReply{ID: order.ID, Outcome: Refused, Reason: Invalid, Detail: err.Error()}
			writeJSON(w, http.StatusBadRequest, reply)
			return
		}
		result := execute(r.Context(), order)
		reply := orderReply{ID: order.ID, Outcome: result.Outcome, Reason: result.Reason, Detail: result.Detail}
		writeJSON(w, orderStatus(result.Outcome), reply)
	})
}

// orderStatus returns the HTTP status for an outcome.
func orderStatus(o Outcome) int {
	if o == Accepted {
		return http.StatusAccepted
	}
	return http.StatusConflict
}

// checkOrder checks every field of an order.
func checkOrder(o *Order) error {
	var c checker
	c.requireName(o.ID, "id")
	c.requireName(o.Upstream, "upstream")
	c.requireName(o.Model, "model")
	c.require(o.Incarnation > 0, "incarnation", "must be positive")
	c.require(o.Grant > 0, "grant", "must be positive")
	c.require(o.Deadline > 0, "deadline", "must be positive")
	c.require(o.Memory >= 0, "memory", "must not be negative")
	switch o.Kind {
	case Load:
		c.require(o.Memory > 0, "memory", "must be positive for a load")
	case Unload:
	case LoadAdapter, UnloadAdapter:
		c.requireName(o.Adapter, "adapter")
	case SetVersion:
		c.requireName(o.Version, "version")
	case SetRole:
		c.requireName(o.Role, "role")
	default:
		c.require(false, "kind", fmt.Sprintf("has the unknown value %q", o.Kind))
	}
	return c.result()
}
