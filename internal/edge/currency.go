package edge

import (
	"time"

	"github.com/agateslip/agateslip/currency"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
)

// currencyProof tells how recently this node's configuration was proved to be the one in force. Without a bound on
// revocation it needs no proof.
type currencyProof struct {
	tracker currency.Tracker
	// bound is the setting Managed.Revocation; zero without one.
	bound time.Duration
	// lost is set while the log says that there is no valid proof. Only watchCurrency uses it.
	lost bool
}

// appliedVersion returns the version of the configuration in force; zero before the first.
func (e *Edge) appliedVersion() uint64 {
	if v := e.routing.Load(); v != nil {
		return v.version
	}
	return 0
}

// noteCurrent records the leader's word, for which this node asked at askedAt, that no configuration after a version
// had been acknowledged then. Version zero says nothing.
func (e *Edge) noteCurrent(askedAt time.Duration, version uint64) {
	if version != 0 {
		e.proof.tracker.Add(askedAt, version)
	}
}

// proofAge returns the age of the latest proof that this node's configuration is current; ok is false if there has
// been none.
func (e *Edge) proofAge() (age time.Duration, ok bool) {
	return e.proof.tracker.Age(boottime.Now(), e.appliedVersion())
}

// isCurrent reports whether keys may be looked up in the configuration that is read after the call.
func (e *Edge) isCurrent() bool {
	if e.proof.bound == 0 {
		return true
	}
	age, ok := e.proofAge()
	return ok && age <= currency.Validity(e.proof.bound)
}

// takesKeys reports whether the node can take calls with keys, which are all but those to public routes.
func (e *Edge) takesKeys() bool {
	v := e.routing.Load()
	return v == nil || !v.table.Configuration().Keyed || e.isCurrent()
}

// currencyRetryAfter returns the time after which a caller whose call lacks a proof should try again. At first other
// nodes probably have one; later the load balancer sends no new connections to a node that alone lacks it.
func (e *Edge) currencyRetryAfter() time.Duration {
	if age, ok := e.proofAge(); ok && age < currency.Validity(e.proof.bound)+balancerLag {
		return otherNodeRetryAfter
	}
	return defaultRetryAfter
}

// watchHold returns how long the leader may hold back an answer while nothing changes.
func (e *Edge) watchHold() time.Duration {
	if e.proof.bound == 0 {
		return watchWait
	}
	return currency.Hold(e.proof.bound, watchWait)
}

// watchCurrency logs when the proof is lost and regained. It is called at intervals.
func (e *Edge) watchCurrency() {
	lost := !e.takesKeys()
	if lost == e.proof.lost {
		return
	}
	e.proof.lost = lost
	age, _ := e.proofAge()
	fields := eventlog.Fields{"version": e.appliedVersion(), "proofMillis": age.Milliseconds(), "asked": e.leader.current()}
	if lost {
		e.metrics.Count("currency lost")
		e.log.Event("configuration not proved current", fields)
		return
	}
	e.log.Event("configuration proved current", fields)
}
