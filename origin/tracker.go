package origin

import (
	"maps"
	"time"

	"github.com/agateslip/agateslip/fleet"
)

const (
	// Lifetime is how long after its beginning a stream may be taken up again, where callers do not wait for
	// answers for so long that it takes more; see [Tracker.Cover].
	Lifetime = time.Minute
	// triesPerCaller is how often a caller may wait for the whole time of its route.
	triesPerCaller = 3
	// BaseLease is how long after it asked the leader an entry node may take a version for the
	// base version. Without a leader, entry nodes begin no streams after that time.
	BaseLease = 10 * time.Minute
	// departureGrace covers the time for which an upstream that has announced its departure may
	// still serve entry nodes that do not know of it.
	departureGrace = 30 * time.Second
	// reviewInterval is the time between two reviews of the upstreams.
	reviewInterval = time.Second
)

// Tracker decides when the base versions change and when records expire. It belongs to one leader's
// term.
type Tracker struct {
	began time.Duration
	// lifetime is how long after its beginning a stream may be taken up again.
	lifetime time.Duration
	// reviewAt is when the upstreams are reviewed next, and expireAt when records expire next.
	reviewAt, expireAt time.Duration
	// expiries is the number of expiries that had taken effect at the latest review.
	expiries uint64
	// inUseUntil is, by service and version, until when streams may begin there, for as long as they may be
	// taken up after that.
	inUseUntil map[string]map[string]time.Duration
	// bases are the base versions as of the latest review. replacing holds the services of which a change
	// has been proposed that may still take effect, however long ago that was.
	bases     map[string]string
	replacing map[string]bool
	// versions counts the upstreams of each service that have not ended, by version, at the latest
	// review.
	versions map[string]map[string]int
}

// NewTracker returns the tracker of a term that begins at now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{
		began: now, lifetime: Lifetime, expireAt: now + Lifetime, inUseUntil: map[string]map[string]time.Duration{},
		replacing: map[string]bool{}, versions: map[string]map[string]int{},
	}
}

// Cover has streams be remembered for as long as their callers may take them up, if these wait for each answer
// for up to the given time. Within a term that does not get shorter. It returns how long that is.
func (t *Tracker) Cover(timeout time.Duration) time.Duration {
	if lifetime := triesPerCaller * timeout; lifetime > t.lifetime {
		t.expireAt += lifetime - t.lifetime
		t.lifetime = lifetime
	}
	return t.lifetime
}

// Review returns the change to propose; nil if there is none. upstreams returns all upstreams that
// are known, including those that have ended.
func (t *Tracker) Review(table *Table, upstreams func() []fleet.Upstream, now time.Duration) *Change {
	if now < t.reviewAt {
		return nil
	}
	t.reviewAt = now + reviewInterval
	bases := table.Bases()
	t.observe(bases, upstreams(), now)
	change := &Change{}
	next := t.nextBases(bases, now)
	if !maps.Equal(next, bases) {
		change.Before, change.Bases = bases, &next
		for service := range bases {
			t.replacing[service] = t.replacing[service] || !sameBase(bases, next, service)
		}
	}
	if t.expiryDue(table, now) {
		change.Expire, change.Expiries = true, t.expiries
	}
	if change.Bases == nil && !change.Expire {
		return nil
	}
	return change
}

// Bases returns the base versions at which entry nodes may begin streams without a record. Those that a change
// may replace at any moment are not among them: an upstream of theirs may have come back since it was proposed.
func (t *Tracker) Bases(table *Table) map[string]string {
	bases := table.Bases()
	maps.DeleteFunc(bases, func(service, _ string) bool { return t.replacing[service] })
	return bases
}

// sameBase reports whether a service has the same base version, or none, in both maps.
func sameBase(a, b map[string]string, service string) bool {
	inA, okA := a[service]
	inB, okB := b[service]
	return okA == okB && inA == inB
}

// expiryDue reports whether all records from before the last expiry are older than the lifetime. It counts from
// when that took effect, which may be long after it was proposed.
func (t *Tracker) expiryDue(table *Table, now time.Duration) bool {
	if table.Expiries() != t.expiries || table.Empty() {
		t.expiries, t.expireAt = table.Expiries(), max(t.expireAt, now+t.lifetime)
	}
	return now >= t.expireAt
}

// observe counts the versions in service, and notes until when streams may begin at each. A version that has
// become the base was in service when that was decided.
func (t *Tracker) observe(bases map[string]string, upstreams []fleet.Upstream, now time.Duration) {
	maps.DeleteFunc(t.replacing, func(service string, _ bool) bool { return !sameBase(t.bases, bases, service) })
	t.bases = bases
	clear(t.versions)
	for i := range upstreams {
		u := &upstreams[i]
		if u.Service == "" {
			continue // a departure whose upstream was never heard of
		}
		until := now + departureGrace
		if u.Silent {
			until = now + BaseLease // it may still serve entry nodes that are cut off too
		}
		t.noteInUse(u, until)
		if !u.Gone {
			if t.versions[u.Service] == nil {
				t.versions[u.Service] = map[string]int{}
			}
			t.versions[u.Service][u.Software]++
		}
	}
	for service, versions := range t.inUseUntil {
		maps.DeleteFunc(versions, func(_ string, until time.Duration) bool { return now > until+t.lifetime })
		if len(versions) == 0 {
			delete(t.inUseUntil, service)
		}
	}
}

// noteInUse notes that streams may begin at the version of an upstream until the given time.
func (t *Tracker) noteInUse(u *fleet.Upstream, until time.Duration) {
	versions := t.inUseUntil[u.Service]
	if versions == nil {
		versions = map[string]time.Duration{}
		t.inUseUntil[u.Service] = versions
	}
	versions[u.Software] = max(versions[u.Software], until)
}

// nextBases returns the base versions that shall be in force.
func (t *Tracker) nextBases(bases map[string]string, now time.Duration) map[string]string {
	next := maps.Clone(bases)
	for service, versions := range t.versions {
		base, ok := bases[service]
		if ok && !t.mayReplaceBase(service, base, now) {
			continue
		}
		next[service] = mostCommon(versions)
		if ok && next[service] == base {
			delete(next, service) // the old version came back; the earlier change must not take effect later
		}
	}
	for service, base := range bases {
		// Without a base version, all streams are recorded.
		if len(t.versions[service]) == 0 && t.mayReplaceBase(service, base, now) {
			delete(next, service)
		}
	}
	return next
}

// mayReplaceBase reports whether no stream without a record is left that began at the base version of a service.
// A new leader does not know which upstreams fell silent before its term.
func (t *Tracker) mayReplaceBase(service, base string, now time.Duration) bool {
	return t.replacing[service] || now > max(t.inUseUntil[service][base], t.began+BaseLease)+t.lifetime
}

// mostCommon returns the version with the most upstreams, the first of them by name.
func mostCommon(versions map[string]int) string {
	best, most := "", 0
	for software, n := range versions {
		if n > most || n == most && software < best {
			best, most = software, n
		}
	}
	return best
}

// Only returns the version at which any stream of a service must have begun that can still be taken
// up, if there is just one: no stream is recorded, or no other version has been in service.
func (t *Tracker) Only(table *Table, service string, now time.Duration) (software string, ok bool) {
	if base, known := table.bases[service]; known && table.Empty() {
		return base, true
	}
	versions := t.inUseUntil[service]
	if len(versions) != 1 || now-t.began < BaseLease+t.lifetime {
		return "", false
	}
	for software := range versions {
		return software, true
	}
	return "", false
}
