package admission

import "time"

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	level   float64       // tokens present
	rate    float64       // tokens gained per second
	size    float64       // most tokens that the bucket can hold
	updated time.Duration // time until which gained tokens have been added
}

// advance adds the tokens gained until now and returns those that do not fit.
func (b *bucket) advance(now time.Duration) float64 {
	if now <= b.updated {
		return 0
	}
	gained := b.rate * (now - b.updated).Seconds()
	b.updated = now
	return b.add(gained)
}

// resize sets size and rate and returns the tokens that no longer fit.
func (b *bucket) resize(size, rate float64) float64 {
	b.size, b.rate = size, rate
	excess := max(0, b.level-size)
	b.level -= excess
	return excess
}

// add adds tokens and returns those that do not fit.
func (b *bucket) add(tokens float64) float64 {
	b.level += tokens
	excess := max(0, b.level-b.size)
	b.level -= excess
	return excess
}

// tokenSlack tolerates rounding errors in sums of tokens.
const tokenSlack = 1e-9

// hasToken reports whether the bucket holds at least one token.
func (b *bucket) hasToken() bool {
	return b.level >= 1-tokenSlack
}

// takeToken removes one token.
func (b *bucket) takeToken() {
	b.level = max(0, b.level-1)
}

// refillTime returns how long a bucket takes to get from level to n tokens at rate
// tokens per second, or never.
func refillTime(n, level, rate float64) time.Duration {
	if level >= n-tokenSlack {
		return 0
	}
	if rate <= 0 {
		return never
	}
	seconds := (n - level) / rate
	if seconds > never.Seconds() {
		return never
	}
	return time.Duration(seconds * float64(time.Second))
}

// never is a time or duration beyond every deadline.
const never = time.Duration(1) << 61
