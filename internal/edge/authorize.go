package edge

import (
	"net/http"

	"github.com/agateslip/agateslip/routes"
)

// reasonNoKey is why a call without a known key is not run.
const reasonNoKey = "unknown key"

// keyed reports whether the configuration in force at the call's arrival requires keys.
func (c *call) keyed() bool { return c.routing.table.Configuration().Keyed }

// authorize finds the tenant of the call. It answers a call without a known key and returns false, unless the route
// is public or the configuration requires no keys.
func (c *call) authorize() bool {
	if !c.keyed() {
		return true
	}
	c.tenant = c.tenantIn(c.routing.table)
	if c.tenant == nil && !c.route.Public {
		c.fail(http.StatusUnauthorized, reasonNoKey)
		return false
	}
	return true
}

// tenantIn returns the tenant that holds the caller's key, or nil if there is none.
func (c *call) tenantIn(table *routes.Table) *routes.Tenant {
	if c.caller.Key == "" {
		return nil
	}
	return table.Tenant(routes.DigestKey(c.caller.Key))
}

// stillAuthorized reports whether the configuration in force now allows the call to be sent. Its key may have been
// removed while it waited.
func (c *call) stillAuthorized() bool {
	current := c.edge.routing.Load()
	if c.tenant == nil || current == c.routing || !current.table.Configuration().Keyed {
		return true
	}
	now := c.tenantIn(current.table)
	return now != nil && now.Name == c.tenant.Name
}

// giveUpUnauthorized ends a call whose key was removed while it waited.
func (c *call) giveUpUnauthorized() {
	if c.mayHaveRun || c.streamStarted {
		c.giveUp(reasonNoKey, defaultRetryAfter)
		return
	}
	c.fail(http.StatusUnauthorized, reasonNoKey)
}

// author identifies the author of the request, for its fingerprint: the tenant, or without keys the caller's
// credentials.
func (c *call) author() string {
	if c.keyed() {
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
