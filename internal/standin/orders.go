package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/engine"
)

// maxEndedReplicas bounds the failed and unloaded replicas that an engine announces.
const maxEndedReplicas = 64

// replica is a replica of a model on an Engine.
type replica struct {
	directory.Replica
	// activeRequests counts the requests that hold this replica, queued ones included.
	activeRequests int
	// cancelLoad cancels the load.
	cancelLoad context.CancelFunc
	// unloadRequested is set once an unload was ordered.
	unloadRequested bool
	// version and role are the values of the last SetVersion and SetRole orders.
	version, role string
}

// holdsMemory reports whether the replica occupies accelerator memory.
func (r *replica) holdsMemory() bool {
	return r.State == directory.Loading || r.State == directory.Ready || r.State == directory.Unloading
}

// executeOrder checks the incarnation and the fencing number of an order and applies it.
// An order ID that was already accepted is accepted again without effect.
func (e *Engine) executeOrder(_ context.Context, o engine.Order) engine.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Upstream != e.config.ID || o.Incarnation != e.config.Incarnation {
		return refusedResult(engine.WrongUpstream, "this is %s/%d", e.config.ID, e.config.Incarnation)
	}
	if o.Fencing < e.highestFencing {
		e.stats.StaleOrders++
		if e.config.ChecksFencing {
			return refusedResult(engine.StaleFencing, "have seen %d", e.highestFencing)
		}
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	if e.acceptedOrders[o.ID] {
		return engine.Result{Outcome: engine.Accepted}
	}
	result := e.applyOrder(o)
	if result.Outcome == engine.Accepted {
		e.acceptedOrders[o.ID] = true
		e.announcer.announceNow()
	}
	return result
}

// refusedResult returns a Refused result with a reason and a formatted detail.
func refusedResult(reason engine.Reason, format string, args ...any) engine.Result {
	return engine.Result{Outcome: engine.Refused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// applyOrder starts the operation of an order that passed the checks. The caller holds
// e.mu.
func (e *Engine) applyOrder(o engine.Order) engine.Result {
	target := e.findReplica(o.Grant)
	if o.Kind == engine.Load {
		return e.startLoad(o, target)
	}
	if target == nil || !target.holdsMemory() {
		return refusedResult(engine.UnknownGrant, "no replica has grant %d", o.Grant)
	}
	if o.Kind == engine.Unload {
		e.startUnload(target)
		return engine.Result{Outcome: engine.Accepted}
	}
	if target.State != directory.Ready {
		return refusedResult(engine.NotReady, "replica is %s", target.State)
	}
	switch o.Kind {
	case engine.LoadAdapter:
		e.spawn(func() { e.loadAdapter(target, o.Adapter) })
	case engine.UnloadAdapter:
		target.Adapters = slices.DeleteFunc(target.Adapters, func(a string) bool { return a == o.Adapter })
	case engine.SetVersion:
		target.version = o.Version
	case engine.SetRole:
		target.role = o.Role
	default:
		return refusedResult(engine.Unsupported, "kind %s", o.Kind)
	}
	return engine.Result{Outcome: engine.Accepted}
}

// findReplica returns the replica with a grant, or nil.
func (e *Engine) findReplica(grant uint64) *replica {
	for _, r := range e.replicas {
		if r.Grant == grant {
			return r
		}
	}
	return nil
}

// startLoad starts a load if the engine is not leaving, can get the checkpoint and has
// enough memory. existing is the replica that already has the grant, if any: the load is
// then accepted without effect.
func (e *Engine) startLoad(o engine.Order, existing *replica) engine.Result {
	if existing != nil {
		return engine.Result{Outcome: engine.Accepted}
	}
	if e.leaving {
		return refusedResult(engine.Leaving, "takes no new work")
	}
	if _, ok := e.copies[o.Model]; !ok && e.config.Store == "" {
		return refusedResult(engine.UnknownModel, "no copy of %s and no weight store", o.Model)
	}
	used := int64(0)
	for _, r := range e.replicas {
		if !r.holdsMemory() {
			continue
		}
		used += r.Memory
		if r.Model == o.Model {
			e.stats.DoubleLoads++
		}
	}
	if used+o.Memory > e.config.Memory {
		e.stats.OverCommits++
		return refusedResult(engine.OutOfMemory, "%d of %d bytes are in use", used, e.config.Memory)
	}
	e.stats.Loads++
	ctx, cancel := context.WithCancel(e.ctx)
	r := &replica{cancelLoad: cancel}
	r.Grant, r.Model, r.Memory, r.State = o.Grant, o.Model, o.Memory, directory.Loading
	e.replicas = append(e.replicas, r)
	e.trimEndedReplicas()
	e.spawn(func() { e.runLoad(ctx, r) })
	return engine.Result{Outcome: engine.Accepted}
}

// trimEndedReplicas removes the oldest failed and unloaded replicas beyond
// maxEndedReplicas.
func (e *Engine) trimEndedReplicas() {
	ended := 0
	for _, r := range e.replicas {
		if !r.holdsMemory() {
			ended++
		}
	}
	e.replicas = slices.DeleteFunc(e.replicas, func(r *replica) bool {
		drop := ended > maxEndedReplicas && !r.holdsMemory()
		if drop {
			ended--
		}
		return drop
	})
}

// runLoad simulates the load of a replica and sets its state afterwards. Scripted
// faults make the load fail or kill the engine.
func (e *Engine) runLoad(ctx context.Context, r *replica) {
	defer r.cancelLoad()
	fail, die := e.faults.consumeLoadFaults()
	err := e.simulateLoad(ctx, r.Model, die)
	if die && e.ctx.Err() == nil {
		e.die()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.announcer.announceNow()
	switch {
	case r.unloadRequested:
		e.spawn(func() { e.unloadReplica(r) })
	case fail || err != nil:
		r.State = directory.Failed
	default:
		r.State = directory.Ready
	}
}

// die calls OnDeath, or kills the engine if it is nil.
func (e *Engine) die() {
	if e.config.OnDeath != nil {
		e.config.OnDeath()
		return
	}
	// Kill waits for all tasks, so this task must not wait for Kill.
	go e.Kill()
}

// simulateLoad waits for the duration of a load from the nearest copy; a remote
// checkpoint is fetched first. With half set it waits for half of the duration and
// fetches nothing, because the engine then dies during the load.
func (e *Engine) simulateLoad(ctx context.Context, model string, half bool) error {
	e.mu.Lock()
	tier, hasCopy := e.copies[model]
	e.mu.Unlock()
	total := e.config.LoadTimes.Disk
	if hasCopy && tier == directory.TierMemory {
		total = e.config.LoadTimes.Memory
	}
	if half {
		total /= 2
	}
	remote := !hasCopy || tier == directory.TierRemote
	if remote && !half {
		if err := e.fetch(ctx, PathFetch, model); err != nil {
			return err
		}
		e.mu.Lock()
		e.copies[model] = directory.TierDisk
		e.mu.Unlock()
	}
	slowdown := max(1, e.faults.get().Slow)
	return sleep(ctx, e.config.Scale.apply(time.Duration(float64(total)*slowdown)))
}

// fetch requests a checkpoint or adapter from the weight store and waits for it.
func (e *Engine) fetch(ctx context.Context, path, name string) error {
	if e.config.Store == "" {
		return errors.New("no weight store")
	}
	body, err := json.Marshal(FetchRequest{Name: name})
	if err != nil {
		return errors.Wrap(err, "encode fetch request")
	}
	url := "http://" + e.config.Store + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create fetch request")
	}
	response, err := e.storeClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("weight store answered with status %d", response.StatusCode)
	}
	return nil
}

// startUnload cancels a load in progress, or frees the replica once no request holds it.
// The caller holds e.mu.
func (e *Engine) startUnload(r *replica) {
	if r.unloadRequested {
		return
	}
	r.unloadRequested = true
	if r.State == directory.Loading {
		r.cancelLoad()
		return
	}
	r.State = directory.Unloading
	if r.activeRequests == 0 {
		e.spawn(func() { e.unloadReplica(r) })
	}
}

// unloadReplica simulates freeing the memory of a replica.
func (e *Engine) unloadReplica(r *replica) {
	e.mu.Lock()
	r.State = directory.Unloading
	e.mu.Unlock()
	e.announcer.announceNow()
	if sleep(e.ctx, e.config.Scale.apply(e.config.LoadTimes.Unload)) != nil {
		return
	}
	e.mu.Lock()
	r.State = directory.Unloaded
	r.Adapters = nil
	e.mu.Unlock()
	e.announcer.announceNow()
}

// loadAdapter fetches an adapter and adds it to the replica if that is still ready.
func (e *Engine) loadAdapter(r *replica, adapter string) {
	if e.config.Store != "" && e.fetch(e.ctx, PathFetchAdapter, adapter) != nil {
		return
	}
	e.mu.Lock()
	if r.State == directory.Ready && !slices.Contains(r.Adapters, adapter) {
		r.Adapters = append(r.Adapters, adapter)
	}
	e.mu.Unlock()
	e.announcer.announceNow()
}
