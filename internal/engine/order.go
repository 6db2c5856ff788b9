package engine

import (
	"context"
	"fmt"
	"net/http"
)

// MaxOrder bounds an order, in bytes.
const MaxOrder = 64 << 10

// OrderKind is what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	// Load asks for a replica of a model.
	Load OrderKind = "load"
	// Unload asks to free the replica of a grant.
	Unload OrderKind = "unload"
	// LoadAdapter asks to add an adapter to the replica of a grant.
	LoadAdapter OrderKind = "load-adapter"
	// UnloadAdapter asks to drop an adapter from the replica of a grant.
	UnloadAdapter OrderKind = "unload-adapter"
	// SetVersion asks to serve another version of the replica's model.
	SetVersion OrderKind = "set-version"
	// SetRole asks to run the replica in another role.
	SetRole OrderKind = "set-role"
)

// Order is one order to an upstream. It is accepted or refused at once; the
// upstream's announcements tell how it ended. An order that repeats the
// identity of an accepted one is accepted again and not run again.
type Order struct {
	// ID identifies the order. The answer repeats it.
	ID string `json:"id"`
	// Kind is what the order asks for.
	Kind OrderKind `json:"kind"`
	// Upstream is the name of the upstream that the order is for.
	Upstream string `json:"upstream"`
	// Incarnation is the one that the order is for.
	Incarnation uint64 `json:"incarnation"`
	// Fencing grows with each leader and is refused if it is smaller than one
	// the upstream has seen, where the upstream checks it.
	Fencing uint64 `json:"fencing"`
	// Grant is the identity of the replica that the order concerns.
	Grant uint64 `json:"grant"`
	// Model is the model to load, or the one of the grant.
	Model string `json:"model"`
	// Memory is the accelerator memory that a load may take, in bytes.
	Memory int64 `json:"memory,omitempty"`
	// Adapter is set for LoadAdapter and UnloadAdapter.
	Adapter string `json:"adapter,omitempty"`
	// Version is set for SetVersion.
	Version string `json:"version,omitempty"`
	// Role is set for SetRole.
	Role string `json:"role,omitempty"`
	// Deadline is how long the sender waits for the answer, connecting
	// included. It must end within the sender's lease.
	Deadline Millis `json:"deadline"`
}

// Outcome is how the sending of an order ended.
type Outcome string

// Outcomes of an order.
const (
	// Accepted means that the upstream carries the order out.
	Accepted Outcome = "accepted"
	// Refused means that the upstream did nothing.
	Refused Outcome = "refused"
	// Unknown means that the order may have reached the upstream.
	Unknown Outcome = "unknown"
	// NotSent means that provably no byte of the order left the sender.
	NotSent Outcome = "not-sent"
)

// Reason is why an upstream refused an order.
type Reason string

// Reasons of refusals.
const (
	// StaleFencing means that a newer leader has sent an order.
	StaleFencing Reason = "stale-fencing"
	// OutOfMemory means that the load does not fit the free memory.
	OutOfMemory Reason = "out-of-memory"
	// UnknownGrant means that no replica has the order's grant.
	UnknownGrant Reason = "unknown-grant"
	// UnknownModel means that no copy of the model can be reached.
	UnknownModel Reason = "unknown-model"
	// NotReady means that the replica is not ready for the order.
	NotReady Reason = "not-ready"
	// Leaving means that the upstream takes no new work.
	Leaving Reason = "leaving"
	// WrongUpstream means that another upstream or incarnation has the address.
	WrongUpstream Reason = "wrong-upstream"
	// Unsupported means that the upstream does not know the kind of order.
	Unsupported Reason = "unsupported"
	// Invalid means that a field of the order is wrong; Detail names it.
	Invalid Reason = "invalid"
)

// Result is how the sending of an order ended, and why.
type Result struct {
	// Outcome is how it ended.
	Outcome Outcome
	// Reason is set if the outcome is Refused.
	Reason Reason
	// Detail explains the outcome to people.
	Detail string
}

// Orders sends orders to upstreams.
type Orders interface {
	// Send sends one order to the upstream at addr and reports how that ended.
	// It returns within the order's deadline, or earlier if ctx ends.
	Send(ctx context.Context, addr string, o Order) Result
}

// orderReply is the body of the answer to an order.
type orderReply struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// OrdersHandler serves PathOrders for an upstream written in Go. Execute gets
// checked orders and answers Accepted or Refused.
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

// orderStatus is the HTTP status of an order's outcome.
func orderStatus(o Outcome) int {
	if o == Accepted {
		return http.StatusAccepted
	}
	return http.StatusConflict
}

// checkOrder checks every field of an order.
func checkOrder(o *Order) error {
	var c checker
	c.name(o.ID, "id")
	c.name(o.Upstream, "upstream")
	c.name(o.Model, "model")
	c.require(o.Incarnation > 0, "incarnation", "must be positive")
	c.require(o.Grant > 0, "grant", "must be positive")
	c.require(o.Deadline > 0, "deadline", "must be positive")
	c.require(o.Memory >= 0, "memory", "must not be negative")
	switch o.Kind {
	case Load:
		c.require(o.Memory > 0, "memory", "must be positive for a load")
	case Unload:
	case LoadAdapter, UnloadAdapter:
		c.name(o.Adapter, "adapter")
	case SetVersion:
		c.name(o.Version, "version")
	case SetRole:
		c.name(o.Role, "role")
	default:
		c.require(false, "kind", fmt.Sprintf("has the unknown value %q", o.Kind))
	}
	return c.result()
}
