package dispatch

import (
	"slices"
	"time"
)

// SetBases records the leader's answer on the base versions, which this node asked for at askedAt.
func (d *Dispatcher) SetBases(bases map[string]string, askedAt time.Duration) {
	d.origins.Set(bases, askedAt)
}

// Bases returns the base versions that this node knows, by service.
func (d *Dispatcher) Bases() map[string]string { return d.origins.Bases() }

// versionFits reports whether a call may run at an upstream with the software that it runs. A
// stream that has begun goes on at the version that began it. One that begins where it would have
// to be recorded waits while it cannot be.
func (d *Dispatcher) versionFits(u *upstream, c *Call, now time.Duration) bool {
	if c.Pinned {
		return u.desc.Software == c.Software
	}
	return !c.Stream || d.origins.MayBegin(c.Service, u.desc.Software, now)
}

// mustRecord reports whether a call that starts at an upstream begins a stream which must be recorded.
func (d *Dispatcher) mustRecord(u *upstream, c *Call, now time.Duration) bool {
	return c.Stream && !c.Pinned && d.origins.MustRecord(c.Service, u.desc.Software, now)
}

// hasVersion reports whether an upstream of the call's service runs the software version that the
// call is pinned to.
func (d *Dispatcher) hasVersion(c *Call) bool {
	for _, u := range d.byService[c.Service] {
		if !u.isLeaving() && u.desc.Software == c.Software {
			return true
		}
	}
	return false
}

// HasSeveralVersions reports whether upstreams with different software versions serve a service.
func (d *Dispatcher) HasSeveralVersions(service string) bool {
	upstreams := d.byService[service]
	return slices.ContainsFunc(upstreams, func(u *upstream) bool { return u.desc.Software != upstreams[0].desc.Software })
}
