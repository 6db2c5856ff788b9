package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/routes"
)

// keyedConfig returns a version of a configuration in which the tenants have one key each.
func keyedConfig(version uint64, keyByTenant map[string]string) *routingConfig {
	conf := &routes.Configuration{Keyed: keyByTenant != nil}
	for name, key := range keyByTenant {
		conf.Tenants = append(conf.Tenants, routes.Tenant{Name: name, Keys: []routes.KeyDigest{routes.DigestKey(key)}})
	}
	return &routingConfig{version: version, table: routes.NewTable(conf)}
}

// TestKeyIsCheckedAgainBeforeEachAttempt changes the configuration, or lets its proof expire, while a call waits.
func TestKeyIsCheckedAgainBeforeEachAttempt(t *testing.T) {
	const bound = 5 * time.Second
	north := keyedConfig(1, map[string]string{"north": "k1"})
	cases := []struct {
		name         string
		arrived, now *routingConfig
		public       bool
		key          string
		proofAge     time.Duration
		why          string
	}{
		{name: "nothing changed", arrived: north, now: north, key: "k1"},
		{name: "another change", arrived: north, now: keyedConfig(2, map[string]string{"north": "k1", "south": "k2"}), key: "k1"},
		{name: "key removed", arrived: north, now: keyedConfig(2, map[string]string{"north": "k2"}), key: "k1", why: reasonUnknownKey},
		{name: "key given to another", arrived: north, now: keyedConfig(2, map[string]string{"south": "k1"}), key: "k1", why: reasonUnknownKey},
		{name: "last tenant removed", arrived: north, now: keyedConfig(2, map[string]string{}), key: "k1", why: reasonUnknownKey},
		{name: "no keys needed any more", arrived: north, now: keyedConfig(2, nil), key: "k1"},
		{name: "proof too old", arrived: north, now: north, key: "k1", proofAge: bound, why: reasonNotCurrent},
		{name: "proof as old as nodes in touch have it", arrived: north, now: north, key: "k1", proofAge: bound / 2},
		{name: "proof too old for a removed key", arrived: north, now: keyedConfig(2, map[string]string{}), key: "k1", proofAge: bound, why: reasonNotCurrent},
		{name: "public without a key", arrived: north, now: north, public: true, proofAge: bound},
		{name: "public with a key", arrived: north, now: north, public: true, key: "k1", proofAge: bound, why: reasonNotCurrent},
		{name: "keys needed now", arrived: keyedConfig(1, nil), now: keyedConfig(2, map[string]string{"north": "k1"}), key: "k1", why: reasonKeysRequired},
		{name: "unknown key needed now", arrived: keyedConfig(1, nil), now: keyedConfig(2, map[string]string{}), key: "k1", why: reasonUnknownKey},
		{name: "no keys at all", arrived: keyedConfig(1, nil), now: keyedConfig(2, nil), proofAge: bound},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := &Edge{proof: currencyProof{bound: bound}}
			c := &call{edge: e, routing: test.arrived, route: &routes.Route{Public: test.public}, caller: Caller{Key: test.key, ClaimsKey: test.key != ""}}
			is.True(c.authorize(true))
			e.routing.Store(test.now)
			e.noteCurrent(boottime.Now()-test.proofAge, test.now.version)
			why := ""
			if denied := c.checkAuthorization(); denied != nil {
				why = denied.why
				is.Equal(denied.unauthorized, why == reasonUnknownKey)
				is.True(denied.unauthorized || denied.retryAfter > 0)
			}
			is.Equal(why, test.why)
		})
	}
}

// TestUnprovedNodeRefusesAsNotRun checks what callers get from a node that has no proof: not that their key is
// unknown, since another node may know it.
func TestUnprovedNodeRefusesAsNotRun(t *testing.T) {
	is := is.New(t)
	log := eventlog.New(io.Discard, nil)
	defer log.Close(time.Second)
	e := &Edge{proof: currencyProof{bound: time.Second}, metrics: metrics.New("unproved"), log: log}
	e.routing.Store(keyedConfig(3, map[string]string{"north": "k1"}))
	for _, key := range []string{"k1", "unknown", ""} {
		w := httptest.NewRecorder()
		c := &call{
			edge: e, w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), routing: e.routing.Load(), route: &routes.Route{},
			caller: Caller{Key: key, ClaimsKey: key != ""},
		}
		is.True(!c.authorize(e.isCurrent()))
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
		is.Equal(w.Header().Get("Connection"), "close")
	}
	ready := httptest.NewRecorder()
	e.readiness().ServeHTTP(ready, httptest.NewRequest(http.MethodGet, "/ready", nil))
	is.Equal(ready.Code, http.StatusServiceUnavailable)

	// An unreadable configuration proves nothing: the node knows only the one before.
	e.noteCurrent(boottime.Now(), 4)
	is.True(!e.isCurrent())
	e.noteCurrent(boottime.Now(), 3)
	is.True(e.isCurrent())
}

// TestFingerprintsOfTenantsDiffer guards against a quarantine of one tenant's request that shuts out another's.
func TestFingerprintsOfTenantsDiffer(t *testing.T) {
	is := is.New(t)
	routing := keyedConfig(1, map[string]string{"north": "k1", "south": "k2"})
	authors := map[string]bool{}
	for _, key := range []string{"k1", "k2"} {
		c := &call{edge: &Edge{}, routing: routing, route: &routes.Route{}, caller: Caller{Key: key, ClaimsKey: true, Credentials: "Token " + key}}
		is.True(c.authorize(true))
		authors[c.author()] = true
	}
	is.Equal(authors, map[string]bool{"north": true, "south": true})
}
