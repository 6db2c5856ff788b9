package residency

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// maxAnnouncementDelay is how long after an order an announcement may still show what
// the engine held before it: announcements can arrive seconds late.
const maxAnnouncementDelay = 6 * time.Second

// holdings tracks what may take up memory at one engine. An announcement adds to it
// but removes nothing, because it may be older than the latest order. Only an unload
// that the planner ordered or a report from the engine removes entries. Adapters are
// named MODEL/ADAPTER.
type holdings struct {
	// models holds the models that may be loaded. servedSince holds the models that
	// the engine serves, with the time since when it does.
	models      map[string]bool
	servedSince map[string]time.Duration
	// adapterReadyAt holds the adapters that may be loaded, with the time from which
	// each is usable.
	adapterReadyAt map[string]time.Duration
	// unloadedAt is when models and adapters were unloaded. Entries expire after
	// maxAnnouncementDelay.
	unloadedAt map[string]time.Duration
}

func newHoldings() holdings {
	return holdings{
		models: map[string]bool{}, servedSince: map[string]time.Duration{},
		adapterReadyAt: map[string]time.Duration{}, unloadedAt: map[string]time.Duration{},
	}
}

// applyAnnouncement adds what an announcement shows. It ignores models and adapters
// that were recently unloaded, which an old announcement may still list.
func (h *holdings) applyAnnouncement(residents []fleet.Resident, now time.Duration) {
	maps.DeleteFunc(h.unloadedAt, func(_ string, at time.Duration) bool { return now-at > maxAnnouncementDelay })
	h.updateServed(residents, now)
	for _, r := range residents {
		if h.recentlyUnloaded(r.Model) {
			continue
		}
		h.models[r.Model] = true
		for _, a := range r.Adapters {
			name := r.Model + "/" + a
			if _, known := h.adapterReadyAt[name]; !known && !h.recentlyUnloaded(name) {
				h.adapterReadyAt[name] = now
			}
		}
	}
}

// updateServed replaces the set of served models. A model that stays keeps its time.
func (h *holdings) updateServed(residents []fleet.Resident, now time.Duration) {
	before := h.servedSince
	h.servedSince = map[string]time.Duration{}
	for _, r := range residents {
		if h.recentlyUnloaded(r.Model) {
			continue
		}
		since, known := before[r.Model]
		if !known {
			since = now
		}
		h.servedSince[r.Model] = since
	}
}

// recentlyUnloaded reports whether an announcement may still list a model or adapter
// that was unloaded since.
func (h *holdings) recentlyUnloaded(name string) bool {
	_, unloaded := h.unloadedAt[name]
	return unloaded
}

// applyReport replaces the holdings with those of a report that is not older than the
// latest order.
func (h *holdings) applyReport(r *Report, now time.Duration) {
	clear(h.unloadedAt)
	h.updateServed(r.Residents, now)
	clear(h.models)
	adapters := map[string]time.Duration{}
	readyAt := func(name string, fallback time.Duration) time.Duration {
		if known, ok := h.adapterReadyAt[name]; ok {
			return known
		}
		return fallback
	}
	for _, resident := range r.Residents {
		h.models[resident.Model] = true
		for _, a := range resident.Adapters {
			name := resident.Model + "/" + a
			adapters[name] = readyAt(name, now)
		}
	}
	for _, name := range r.LoadingAdapters {
		adapters[name] = readyAt(name, now+adapterLoadTime)
	}
	h.adapterReadyAt = adapters
}

// addModel records a model load that the engine accepted.
func (h *holdings) addModel(model string) {
	h.models[model] = true
	delete(h.unloadedAt, model)
}

// addAdapter records an adapter that is usable from the given time on.
func (h *holdings) addAdapter(name string, at time.Duration) {
	h.adapterReadyAt[name] = at
	delete(h.unloadedAt, name)
}

// removeModel records that a model was unloaded, with its adapters.
func (h *holdings) removeModel(model string, now time.Duration) {
	delete(h.models, model)
	delete(h.servedSince, model)
	h.unloadedAt[model] = now
	for name := range h.adapterReadyAt {
		if strings.HasPrefix(name, model+"/") {
			h.removeAdapter(name, now)
		}
	}
}

// removeAdapter records that an adapter was unloaded.
func (h *holdings) removeAdapter(name string, now time.Duration) {
	delete(h.adapterReadyAt, name)
	h.unloadedAt[name] = now
}

// serves reports whether the engine serves a model, which may be about to be
// unloaded.
func (h *holdings) serves(model string) bool {
	_, ok := h.servedSince[model]
	return ok
}

// residents returns the announced models that the engine serves, each with its usable
// adapters, for the nodes that send calls.
func (h *holdings) residents(announced []fleet.Resident, now time.Duration) []fleet.Resident {
	var out []fleet.Resident
	for _, r := range announced {
		if !h.serves(r.Model) {
			continue
		}
		r.Adapters = nil
		for name, at := range h.adapterReadyAt {
			if model, adapter, _ := strings.Cut(name, "/"); model == r.Model && at <= now {
				r.Adapters = append(r.Adapters, adapter)
			}
		}
		slices.Sort(r.Adapters)
		out = append(out, r)
	}
	return out
}
