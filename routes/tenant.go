package routes

import "crypto/sha256"

// KeyDigest identifies an API key without revealing it: its SHA-256 digest.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a group of callers that share API keys and a quota.
type Tenant struct {
	// Name identifies the tenant to upstreams, in logs and in metrics.
	Name string
	// Keys are the digests of the tenant's API keys. A tenant without keys can call nothing.
	Keys []KeyDigest
	// Priority precedes the priorities of routes. Zero is the most urgent, and nil counts as zero.
	Priority *int
	// Quota limits the tenant's calls over all entry nodes together; nil sets no limit.
	Quota *Quota
}

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// Units of a quota.
const (
	// QuotaCalls counts each call as one.
	QuotaCalls QuotaUnit = iota + 1
	// QuotaTokens counts the tokens that a call states, those of its prompt and the most that may be generated.
	QuotaTokens
)

// String returns the plural of the unit.
func (u QuotaUnit) String() string {
	switch u {
	case QuotaCalls:
		return "calls"
	case QuotaTokens:
		return "tokens"
	}
	return "unknown units"
}

// Quota is the limit of a token bucket.
type Quota struct {
	Unit QuotaUnit
	// PerSecond is the rate at which the bucket fills, and Burst the most that it holds in addition, in units.
	PerSecond, Burst float64
	// UnstatedCost is the cost of a call that states no tokens, in tokens, where these are the unit.
	UnstatedCost float64
}

// Cost returns what a call costs, in units. stated is set if the call states its tokens.
func (q *Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case q.Unit != QuotaTokens:
		return 1
	case stated:
		return float64(tokens)
	default:
		return q.UnstatedCost
	}
}
