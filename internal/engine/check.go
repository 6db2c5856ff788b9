package engine

import (
	"fmt"
	"net/netip"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/fleet"
)

// Limits of the parts of messages.
const (
	// MaxName is the longest name or ID in bytes.
	MaxName = 200
	// MaxReplicas is the most replicas of one upstream.
	MaxReplicas = 1024
	// MaxCopies is the most checkpoint copies of one upstream.
	MaxCopies = 4096
	// MaxAdapters is the most adapters of one replica.
	MaxAdapters = 4096
	// MaxEvents is the most events of one batch.
	MaxEvents = 8192
	// MaxMemory is the most memory of an upstream or a replica in bytes. Sums over all
	// replicas of an upstream are in range.
	MaxMemory = 1 << 50
	// MaxCalls is the most calls that an upstream runs or queues.
	MaxCalls = 1 << 30
)

// checker keeps the first rule that a message breaks.
type checker struct {
	err *FieldError
}

// require records that field breaks rule unless ok is set or an earlier rule was
// broken.
func (c *checker) require(ok bool, field, rule string) {
	if ok || c.err != nil {
		return
	}
	c.err = &FieldError{Field: field, Rule: rule}
}

// requireName requires a non-empty name of at most MaxName visible ASCII characters.
func (c *checker) requireName(value, field string) {
	c.require(value != "", field, "must not be empty")
	c.require(len(value) <= MaxName, field, fmt.Sprintf("must have at most %d bytes", MaxName))
	c.require(isPrintable(value), field, "must be printable ASCII without spaces")
}

// result returns the first broken rule, or nil.
func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

// isPrintable reports whether value has only visible ASCII characters.
func isPrintable(value string) bool {
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

// checkAnnouncement checks every field of an announcement.
func checkAnnouncement(a *directory.Announcement) error {
	var c checker
	c.requireName(a.ID, "id")
	c.requireName(a.Domain, "domain")
	c.require(a.Incarnation > 0, "incarnation", "must be positive")
	c.require(a.Seq > 0, "seq", "must be positive")
	c.require(validAddr(a.Addr), "addr", "must be an IP address and port, as in 10.0.0.1:8000")
	if a.Software != "" {
		c.requireName(a.Software, "software")
	}
	c.require(a.Memory >= 0, "memory", "must not be negative")
	c.require(a.Memory <= MaxMemory, "memory", fmt.Sprintf("must be at most %d", int64(MaxMemory)))
	c.require(a.Slots > 0, "slots", "must be positive")
	c.require(a.Slots <= fleet.MaxSlots, "slots", fmt.Sprintf("must be at most %d", fleet.MaxSlots))
	c.require(a.Load.Running >= 0, "load.running", "must not be negative")
	c.require(a.Load.Queued >= 0, "load.queued", "must not be negative")
	c.require(max(a.Load.Running, a.Load.Queued) <= MaxCalls, "load", fmt.Sprintf("must be at most %d", MaxCalls))
	checkKind(&c, a)
	checkReplicas(&c, a.Replicas)
	checkCopies(&c, a.Copies)
	return c.result()
}

// validAddr reports whether addr is an IP address and port that a node can connect to:
// no unspecified or multicast address, no zone, which only the upstream itself knows, and no
// port 0.
func validAddr(addr string) bool {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	return parsed.Port() != 0 && parsed.Addr().Zone() == "" && !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}

// checkKind checks the fields that depend on the kind of upstream.
func checkKind(c *checker, a *directory.Announcement) {
	switch a.Kind {
	case directory.Engine:
		c.require(a.Service == "", "service", "must be empty for an engine")
	case directory.Service:
		c.requireName(a.Service, "service")
		c.require(len(a.Replicas) == 0, "replicas", "must be empty for a service")
		c.require(len(a.Copies) == 0, "copies", "must be empty for a service")
	default:
		c.require(false, "kind", "must be engine or service")
	}
}

// checkReplicas checks the replicas of an engine.
func checkReplicas(c *checker, replicas []directory.Replica) {
	c.require(len(replicas) <= MaxReplicas, "replicas", fmt.Sprintf("must have at most %d elements", MaxReplicas))
	seen := make(map[uint64]bool, len(replicas))
	for i := range replicas {
		r := &replicas[i]
		field := fmt.Sprintf("replicas[%d]", i)
		c.require(r.Grant > 0, field+".grant", "must be positive")
		c.require(!seen[r.Grant], field+".grant", "must be unique")
		seen[r.Grant] = true
		c.requireName(r.Model, field+".model")
		c.require(r.Memory >= 0, field+".memory", "must not be negative")
		c.require(r.Memory <= MaxMemory, field+".memory", fmt.Sprintf("must be at most %d", int64(MaxMemory)))
		c.require(validState(r.State), field+".state", "must be loading, ready, unloading, failed or unloaded")
		c.require(len(r.Adapters) <= MaxAdapters, field+".adapters", fmt.Sprintf("must have at most %d elements", MaxAdapters))
		for j, adapter := range r.Adapters {
			c.requireName(adapter, fmt.Sprintf("%s.adapters[%d]", field, j))
		}
	}
}

// validState reports whether s is a known replica state.
func validState(s directory.ReplicaState) bool {
	switch s {
	case directory.Loading, directory.Ready, directory.Unloading, directory.Failed, directory.Unloaded:
		return true
	}
	return false
}

// checkCopies checks the checkpoint copies of an engine.
func checkCopies(c *checker, copies []directory.Copy) {
	c.require(len(copies) <= MaxCopies, "copies", fmt.Sprintf("must have at most %d elements", MaxCopies))
	for i := range copies {
		field := fmt.Sprintf("copies[%d]", i)
		c.requireName(copies[i].Model, field+".model")
		switch copies[i].Tier {
		case directory.TierMemory, directory.TierDisk, directory.TierRemote:
		default:
			c.require(false, field+".tier", "must be memory, disk or remote")
		}
	}
}

// checkCacheEvents checks every field of a batch.
func checkCacheEvents(e *CacheEvents) error {
	var c checker
	c.requireName(e.ID, "id")
	c.require(e.Incarnation > 0, "incarnation", "must be positive")
	c.require(e.Seq > 0, "seq", "must be positive")
	c.require(len(e.Events) <= MaxEvents, "events", fmt.Sprintf("must have at most %d elements", MaxEvents))
	for i := range e.Events {
		event := &e.Events[i]
		field := fmt.Sprintf("events[%d]", i)
		validOp := event.Op == CacheAdd || event.Op == CacheRemove
		c.require(validOp, field+".op", "must be add or remove")
		c.require(!e.Full || event.Op == CacheAdd, field+".op", "must be add in a full batch")
		c.requireName(event.Model, field+".model")
		c.requireName(event.Prefix, field+".prefix")
		c.require(event.Length > 0, field+".length", "must be positive")
	}
	return c.result()
}
