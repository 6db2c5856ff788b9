package residency

// resumedCallValue is the value of a call that goes on with a stream, relative to a new one: what has
// been generated is lost with it.
const resumedCallValue = 8

// pinnedCallValue returns the value of a call that only engines with the given version of their software
// can serve, relative to a new one: the fewer of the engines they are, the higher.
func (s *service) pinnedCallValue(software string) float64 {
	total := 0
	for _, engines := range s.byVersion {
		total += engines
	}
	return resumedCallValue * float64(total) / float64(max(1, s.byVersion[software]))
}

// pinnedTo returns the queue of the calls that can run only at upstreams with the given version of
// their software, and creates it if there is none.
func (q *queue) pinnedTo(software string) *queue {
	if q.pinned == nil {
		q.pinned = map[string]*queue{}
	}
	if q.pinned[software] == nil {
		q.pinned[software] = newQueue()
	}
	return q.pinned[software]
}

// total returns the number of waiting calls.
func (q *queue) total() int {
	total := q.calls
	for _, p := range q.pinned {
		total += p.calls
	}
	return total
}

// wants returns the queue of the calls that are pinned to a software version if no engine of that
// version will serve them; otherwise nil.
func (q *queue) wants(software string) *queue {
	if q == nil || q.pinned[software] == nil || q.pinned[software].served {
		return nil
	}
	return q.pinned[software]
}

// wantsAdapters reports whether calls wait for adapters.
func (q *queue) wantsAdapters() bool {
	if len(q.adapters) > 0 {
		return true
	}
	for _, p := range q.pinned {
		if len(p.adapters) > 0 {
			return true
		}
	}
	return false
}

// serve notes that an engine with the given version has room for the calls that are pinned to it, or
// is to load their model.
func (q *queue) serve(software string) {
	if q != nil && q.pinned[software] != nil {
		q.pinned[software].served = true
	}
}

// pinnedValue returns the highest value, over all software versions, of a load of the model at an
// engine of that version for the calls that are pinned to it.
func (s *service) pinnedValue(m *modelState) float64 {
	if m.queue == nil {
		return 0
	}
	best := 0.0
	for software := range m.queue.pinned {
		for _, t := range []Tier{Memory, Disk, Store} {
			best = max(best, s.pinnedCallValue(software)*m.queue.wants(software).loadValue(loadTime(m.spec, t)))
		}
	}
	return best
}

// withVersion returns the engines with the given version of their software.
func withVersion(engines []*engine, software string) []*engine {
	var out []*engine
	for _, e := range engines {
		if e.desc.Software == software {
			out = append(out, e)
		}
	}
	return out
}
