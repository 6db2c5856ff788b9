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

// endedKept is how many ended replicas an engine still announces.
const endedKept = 64

// replica is one replica of an engine.
type replica struct {
	directory.Replica
	// running counts the requests on this replica.
	running int
	// cancel ends the load.
	cancel context.CancelFunc
	// unload asks for an unload once no request runs.
	unload bool
	// version and role are what the last orders set.
	version, role string
}

// holdsMemory tells whether the replica takes memory in its state.
func (r *replica) holdsMemory() bool {
	return r.State == directory.Loading || r.State == directory.Ready || r.State == directory.Unloading
}

// execute carries out one order.
func (e *Engine) execute(_ context.Context, o engine.Order) engine.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Upstream != e.config.ID || o.Incarnation != e.config.Incarnation {
		return refused(engine.WrongUpstream, "this is %s/%d", e.config.ID, e.config.Incarnation)
	}
	if o.Fencing < e.fence {
		e.stats.StaleOrders++
		if e.config.ChecksFencing {
			return refused(engine.StaleFencing, "have seen %d", e.fence)
		}
	}
	e.fence = max(e.fence, o.Fencing)
	if e.accepted[o.ID] {
		return engine.Result{Outcome: engine.Accepted}
	}
	result := e.apply(o)
	if result.Outcome == engine.Accepted {
		e.accepted[o.ID] = true
		e.announcer.change()
	}
	return result
}

// refused makes the result of a refused order.
func refused(reason engine.Reason, format string, args ...any) engine.Result {
	return engine.Result{Outcome: engine.Refused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// apply starts what a valid order asks for.
func (e *Engine) apply(o engine.Order) engine.Result {
	held := e.find(o.Grant)
	if o.Kind == engine.Load {
		return e.load(o, held)
	}
	if held == nil || !held.holdsMemory() {
		return refused(engine.UnknownGrant, "no replica has grant %d", o.Grant)
	}
	if o.Kind == engine.Unload {
		e.unload(held)
		return engine.Result{Outcome: engine.Accepted}
	}
	if held.State != directory.Ready {
		return refused(engine.NotReady, "replica is %s", held.State)
	}
	switch o.Kind {
	case engine.LoadAdapter:
		e.spawn(func() { e.loadAdapter(held, o.Adapter) })
	case engine.UnloadAdapter:
		held.Adapters = slices.DeleteFunc(held.Adapters, func(a string) bool { return a == o.Adapter })
	case engine.SetVersion:
		held.version = o.Version
	case engine.SetRole:
		held.role = o.Role
	default:
		return refused(engine.Unsupported, "kind %s", o.Kind)
	}
	return engine.Result{Outcome: engine.Accepted}
}

// find returns the replica of a grant, or nil.
func (e *Engine) find(grant uint64) *replica {
	for _, r := range e.replicas {
		if r.Grant == grant {
			return r
		}
	}
	return nil
}

// load begins a load if it fits the memory.
func (e *Engine) load(o engine.Order, held *replica) engine.Result {
	if held != nil {
		return engine.Result{Outcome: engine.Accepted}
	}
	if e.leaving {
		return refused(engine.Leaving, "takes no new work")
	}
	if _, ok := e.copies[o.Model]; !ok && e.config.Store == "" {
		return refused(engine.UnknownModel, "no copy of %s and no weight store", o.Model)
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
		return refused(engine.OutOfMemory, "%d of %d bytes are in use", used, e.config.Memory)
	}
	e.stats.Loads++
	ctx, cancel := context.WithCancel(e.ctx)
	r := &replica{cancel: cancel}
	r.Grant, r.Model, r.Memory, r.State = o.Grant, o.Model, o.Memory, directory.Loading
	e.replicas = append(e.replicas, r)
	e.dropEnded()
	e.spawn(func() { e.runLoad(ctx, r) })
	return engine.Result{Outcome: engine.Accepted}
}

// dropEnded forgets the oldest ended replicas beyond endedKept.
func (e *Engine) dropEnded() {
	ended := 0
	for _, r := range e.replicas {
		if !r.holdsMemory() {
			ended++
		}
	}
	e.replicas = slices.DeleteFunc(e.replicas, func(r *replica) bool {
		drop := ended > endedKept && !r.holdsMemory()
		if drop {
			ended--
		}
		return drop
	})
}

// runLoad takes the time of a load and ends it.
func (e *Engine) runLoad(ctx context.Context, r *replica) {
	defer r.cancel()
	fail, die := e.faults.takeLoad()
	err := e.passLoad(ctx, r.Model, die)
	if die && e.ctx.Err() == nil {
		e.die()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.announcer.change()
	switch {
	case r.unload:
		e.spawn(func() { e.free(r) })
	case fail || err != nil:
		r.State = directory.Failed
	default:
		r.State = directory.Ready
	}
}

// die runs the scripted death of the engine.
func (e *Engine) die() {
	if e.config.OnDeath != nil {
		e.config.OnDeath()
		return
	}
	// Kill waits for the tasks, this one included.
	go e.Kill()
}

// passLoad takes the time of a load from the nearest copy, or half of it.
func (e *Engine) passLoad(ctx context.Context, model string, half bool) error {
	e.mu.Lock()
	tier, held := e.copies[model]
	e.mu.Unlock()
	total := e.config.LoadTimes.Disk
	if held && tier == directory.TierMemory {
		total = e.config.LoadTimes.Memory
	}
	if half {
		total /= 2
	}
	remote := !held || tier == directory.TierRemote
	if remote && !half {
		if err := e.fetch(ctx, PathFetch, model); err != nil {
			return err
		}
		e.mu.Lock()
		e.copies[model] = directory.TierDisk
		e.mu.Unlock()
	}
	slow := max(1, e.faults.get().Slow)
	return sleep(ctx, e.config.Scale.of(time.Duration(float64(total)*slow)))
}

// fetch asks the weight store for a checkpoint or adapter and waits for it.
func (e *Engine) fetch(ctx context.Context, path, name string) error {
	if e.config.Store == "" {
		return errors.New("no weight store")
	}
	body, err := json.Marshal(FetchRequest{Name: name})
	if err != nil {
		return errors.Wrap(err, "encode fetch")
	}
	url := "http://" + e.config.Store + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make fetch")
	}
	response, err := e.fetcher.Do(request)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("weight store answered with status %d", response.StatusCode)
	}
	return nil
}

// unload cancels a load, or frees a replica once no request runs on it.
func (e *Engine) unload(r *replica) {
	if r.unload {
		return
	}
	r.unload = true
	if r.State == directory.Loading {
		r.cancel()
		return
	}
	r.State = directory.Unloading
	if r.running == 0 {
		e.spawn(func() { e.free(r) })
	}
}

// free takes the time to free the memory of a replica.
func (e *Engine) free(r *replica) {
	e.mu.Lock()
	r.State = directory.Unloading
	e.mu.Unlock()
	e.announcer.change()
	if sleep(e.ctx, e.config.Scale.of(e.config.LoadTimes.Unload)) != nil {
		return
	}
	e.mu.Lock()
	r.State = directory.Unloaded
	r.Adapters = nil
	e.mu.Unlock()
	e.announcer.change()
}

// loadAdapter fetches an adapter and adds it to a replica.
func (e *Engine) loadAdapter(r *replica, adapter string) {
	if e.config.Store != "" && e.fetch(e.ctx, PathFetchAdapter, adapter) != nil {
		return
	}
	e.mu.Lock()
	if r.State == directory.Ready && !slices.Contains(r.Adapters, adapter) {
		r.Adapters = append(r.Adapters, adapter)
	}
	e.mu.Unlock()
	e.announcer.change()
}
