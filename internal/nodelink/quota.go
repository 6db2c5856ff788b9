package nodelink

import (
	"time"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/ratelimit"
	"github.com/agateslip/agateslip/routes"
)

// QuotaBound returns the bound of a tenant's quota, on which the leader and the entry nodes agree. It returns false if the
// tenant has no quota, or quotas are not enforced.
func QuotaBound(t *routes.Tenant, tolerance *config.QuotaTolerance) (ratelimit.QuotaBound, bool) {
	if t == nil || t.Quota == nil || t.Quota.PerSecond <= 0 || tolerance.Window <= 0 {
		return ratelimit.QuotaBound{}, false
	}
	return ratelimit.BoundQuota(t.Quota.PerSecond, t.Quota.Burst, time.Duration(tolerance.Window), tolerance.Over, tolerance.Slack), true
}
