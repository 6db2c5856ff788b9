package origin

import "time"

// contactTimeout is the time since the leader's latest answer after which an entry node does not
// expect to be able to record a stream. The leader may hold an answer back for a second.
const contactTimeout = 3 * time.Second

// View is what an entry node knows of the base versions. The zero value knows none.
type View struct {
	bases map[string]string
	// askedAt is when the node asked for them.
	askedAt time.Duration
}

// Set records the leader's answer to what the node asked at askedAt.
func (v *View) Set(bases map[string]string, askedAt time.Duration) {
	v.bases, v.askedAt = bases, askedAt
}

// Bases returns the base versions, by service. The map is not changed.
func (v *View) Bases() map[string]string { return v.bases }

// MustRecord reports whether a stream that begins at the given version of a service must be recorded
// before its first event is sent.
func (v *View) MustRecord(service, software string, now time.Duration) bool {
	base, ok := v.bases[service]
	return !ok || base != software || now-v.askedAt > BaseLease
}

// MayBegin reports whether a stream may begin at the given version: it need not be recorded, or
// the leader is there to record it.
func (v *View) MayBegin(service, software string, now time.Duration) bool {
	return !v.MustRecord(service, software, now) || v.bases != nil && now-v.askedAt <= contactTimeout
}
