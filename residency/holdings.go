package residency

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// maxAnnouncementDelay is for how long an announcement may still show what an engine
// held before an order: announcements may arrive seconds late.
const maxAnnouncementDelay = 6 * time.Second

// holdings is what takes up room at one engine. An announcement adds to it but
// takes nothing away, because it may be older than the latest order; only the
// engine's answer to a question, or an unload of the planner's own, does. Adapters
// are named MODEL/ADAPTER.
type holdings struct {
	// models may be there; offered is since when the engine serves each.
	models      map[string]bool
	servedSince map[string]time.Duration
	// adapterReadyAt may be there, each from a time on.
	adapterReadyAt map[string]time.Duration
	// unloadedAt is when models and adapters were unloaded.
	unloadedAt map[string]time.Duration
}

func newHoldings() holdings {
	return holdings{
		models: map[string]bool{}, servedSince: map[string]time.Duration{},
		adapterReadyAt: map[string]time.Duration{}, unloadedAt: map[string]time.Duration{},
	}
}

// applyAnnouncement takes an announcement.
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

// updateServed notes which models the engine serves.
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

func (h *holdings) recentlyUnloaded(name string) bool {
	_, dropped := h.unloadedAt[name]
	return dropped
}

// applyReport takes the engine's answer to a question that no order has overtaken.
func (h *holdings) applyReport(r *Report, now time.Duration) {
	clear(h.unloadedAt)
	h.updateServed(r.Residents, now)
	clear(h.models)
	adapters := map[string]time.Duration{}
	readyAt := func(name string, usual time.Duration) time.Duration {
		if known, ok := h.adapterReadyAt[name]; ok {
			return known
		}
		return usual
	}
	for _, resident := range r.Residents {
		h.models[resident.Model] = true
		for _, a := range resident.Adapters {
			name := resident.Model + "/" + a
			adapters[name] = readyAt(name, now)
		}
	}
	for _, name := range r.Coming {
		adapters[name] = readyAt(name, now+adapterLoadTime)
	}
	h.adapterReadyAt = adapters
}

// addModel and loadsAdapter take note of a load that the engine accepted.
func (h *holdings) addModel(model string) {
	h.models[model] = true
	delete(h.unloadedAt, model)
}

func (h *holdings) addAdapter(name string, at time.Duration) {
	h.adapterReadyAt[name] = at
	delete(h.unloadedAt, name)
}

// removeModel and dropAdapter take note of an unload that was carried out.
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

func (h *holdings) removeAdapter(name string, now time.Duration) {
	delete(h.adapterReadyAt, name)
	h.unloadedAt[name] = now
}

// serves reports whether the engine serves a model.
func (h *holdings) serves(model string) bool {
	_, ok := h.servedSince[model]
	return ok
}

// residents is what nodes that send calls should know.
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
