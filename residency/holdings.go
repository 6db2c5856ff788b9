package residency

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

// staleAnnouncement is for how long an announcement may still show what an engine
// held before an order: announcements may arrive seconds late.
const staleAnnouncement = 6 * time.Second

// holdings is what takes up room at one engine. An announcement adds to it but
// takes nothing away, because it may be older than the latest order; only the
// engine's answer to a question, or an unload of the planner's own, does. Adapters
// are named MODEL/ADAPTER.
type holdings struct {
	// models may be there; offered is since when the engine serves each.
	models  map[string]bool
	offered map[string]time.Duration
	// adapters may be there, each from a time on.
	adapters map[string]time.Duration
	// dropped is when models and adapters were unloaded.
	dropped map[string]time.Duration
}

func newHoldings() holdings {
	return holdings{
		models: map[string]bool{}, offered: map[string]time.Duration{},
		adapters: map[string]time.Duration{}, dropped: map[string]time.Duration{},
	}
}

// announced takes an announcement.
func (h *holdings) announced(residents []fleet.Resident, now time.Duration) {
	maps.DeleteFunc(h.dropped, func(_ string, at time.Duration) bool { return now-at > staleAnnouncement })
	h.offer(residents, now)
	for _, r := range residents {
		if h.isDropped(r.Model) {
			continue
		}
		h.models[r.Model] = true
		for _, a := range r.Adapters {
			name := r.Model + "/" + a
			if _, known := h.adapters[name]; !known && !h.isDropped(name) {
				h.adapters[name] = now
			}
		}
	}
}

// offer notes which models the engine serves.
func (h *holdings) offer(residents []fleet.Resident, now time.Duration) {
	before := h.offered
	h.offered = map[string]time.Duration{}
	for _, r := range residents {
		if h.isDropped(r.Model) {
			continue
		}
		since, known := before[r.Model]
		if !known {
			since = now
		}
		h.offered[r.Model] = since
	}
}

func (h *holdings) isDropped(name string) bool {
	_, dropped := h.dropped[name]
	return dropped
}

// exact takes the engine's answer to a question that no order has overtaken.
func (h *holdings) exact(r *Report, now time.Duration) {
	clear(h.dropped)
	h.offer(r.Residents, now)
	clear(h.models)
	adapters := map[string]time.Duration{}
	at := func(name string, usual time.Duration) time.Duration {
		if known, ok := h.adapters[name]; ok {
			return known
		}
		return usual
	}
	for _, resident := range r.Residents {
		h.models[resident.Model] = true
		for _, a := range resident.Adapters {
			name := resident.Model + "/" + a
			adapters[name] = at(name, now)
		}
	}
	for _, name := range r.Coming {
		adapters[name] = at(name, now+adapterTime)
	}
	h.adapters = adapters
}

// loadsModel and loadsAdapter take note of a load that the engine accepted.
func (h *holdings) loadsModel(model string) {
	h.models[model] = true
	delete(h.dropped, model)
}

func (h *holdings) loadsAdapter(name string, at time.Duration) {
	h.adapters[name] = at
	delete(h.dropped, name)
}

// dropModel and dropAdapter take note of an unload that was carried out.
func (h *holdings) dropModel(model string, now time.Duration) {
	delete(h.models, model)
	delete(h.offered, model)
	h.dropped[model] = now
	for name := range h.adapters {
		if strings.HasPrefix(name, model+"/") {
			h.dropAdapter(name, now)
		}
	}
}

func (h *holdings) dropAdapter(name string, now time.Duration) {
	delete(h.adapters, name)
	h.dropped[name] = now
}

// offers reports whether the engine serves a model.
func (h *holdings) offers(model string) bool {
	_, ok := h.offered[model]
	return ok
}

// residents is what nodes that send calls should know.
func (h *holdings) residents(announced []fleet.Resident, now time.Duration) []fleet.Resident {
	var out []fleet.Resident
	for _, r := range announced {
		if !h.offers(r.Model) {
			continue
		}
		r.Adapters = nil
		for name, at := range h.adapters {
			if model, adapter, _ := strings.Cut(name, "/"); model == r.Model && at <= now {
				r.Adapters = append(r.Adapters, adapter)
			}
		}
		slices.Sort(r.Adapters)
		out = append(out, r)
	}
	return out
}
