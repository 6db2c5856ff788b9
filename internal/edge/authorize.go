package edge

import (
	"net/http"
	"time"

	"github.com/agateslip/agateslip/routes"
)

const (
	// reasonNoKey is why a call without a key, or with several, is not run, and reasonUnknownKey why one is not whose
	// key no tenant has.
	reasonNoKey      = "no key"
	reasonUnknownKey = "unknown key"
	// reasonNotCurrent is why a call is not run whose key may have been removed without this node knowing it.
	reasonNotCurrent = "configuration not proved current"
	// reasonKeysRequired is why a call is not run that arrived before the configuration required keys.
	reasonKeysRequired = "keys are required now"
)

// denial is why a call must not be sent.
type denial struct {
	why string
	// unauthorized is set if the caller has no valid key. Otherwise it may try again after retryAfter.
	unauthorized bool
	retryAfter   time.Duration
}

// authorize finds the tenant of the call. It answers a call that must not be sent and returns false. current is
// whether the configuration was proved current before it was read.
func (c *call) authorize(current bool) bool {
	c.keyed = c.routing.table.Configuration().Keyed
	tenant, denied := c.tenantIn(c.routing.table, current)
	if denied != nil {
		c.giveUpDenied(denied)
		return false
	}
	c.tenant = tenant
	return true
}

// tenantIn returns the tenant that holds the caller's key, or why the call must not be sent. A call without a key has
// no tenant: it needs a public route or a configuration without keys.
func (c *call) tenantIn(table *routes.Table, current bool) (*routes.Tenant, *denial) {
	if !table.Configuration().Keyed || c.route.Public && !c.caller.ClaimsKey {
		return nil, nil
	}
	if !current {
		return nil, &denial{why: reasonNotCurrent, retryAfter: c.edge.currencyRetryAfter()}
	}
	if c.caller.Key == "" {
		return nil, &denial{why: reasonNoKey, unauthorized: true}
	}
	tenant := table.Tenant(routes.DigestKey(c.caller.Key))
	if tenant == nil {
		return nil, &denial{why: reasonUnknownKey, unauthorized: true}
	}
	return tenant, nil
}

// checkAuthorization returns why the call must not be sent now, or nil. Its key may have been removed, or the proof that
// it was not may have expired, while the call waited or ran elsewhere.
func (c *call) checkAuthorization() *denial {
	// The proof is checked before the configuration is read: what is read is as recent as what was proved, or newer.
	current := c.edge.isCurrent()
	routing := c.edge.routing.Load()
	if current && routing == c.routing {
		return nil
	}
	tenant, denied := c.tenantIn(routing.table, current)
	switch {
	case denied != nil || tenant == nil:
		return denied
	case !c.keyed:
		return &denial{why: reasonKeysRequired, retryAfter: otherNodeRetryAfter}
	case tenant.Name != c.tenantName():
		return &denial{why: reasonUnknownKey, unauthorized: true}
	}
	return nil
}

// giveUpDenied ends a call that must not be sent.
func (c *call) giveUpDenied(d *denial) {
	if !d.unauthorized {
		if !c.streamStarted {
			// Callers that keep the connection would come back to this node.
			c.w.Header().Set("Connection", "close")
		}
		c.giveUp(d.why, d.retryAfter)
		return
	}
	if c.mayHaveRun || c.streamStarted {
		c.giveUp(d.why, defaultRetryAfter)
		return
	}
	c.fail(http.StatusUnauthorized, d.why)
}

// author identifies the author of the request, for its fingerprint: the tenant, or without keys the caller's
// credentials.
func (c *call) author() string {
	if c.keyed {
		return c.tenantName()
	}
	return c.caller.Credentials
}

// tenantName returns the name of the call's tenant, or "" without one.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
