package admission

import "time"

// bucket is a token bucket whose rate and size change with the lease.
type bucket struct {
	level float64 // tokens
	rate  float64 // tokens a second
	size  float64 // tokens
	at    time.Duration
}

// advance adds the tokens gained until now and returns those that do not fit.
func (b *bucket) advance(now time.Duration) float64 {
	if now <= b.at {
		return 0
	}
	gained := b.rate * (now - b.at).Seconds()
	b.at = now
	return b.add(gained)
}

// resize changes the bucket and returns the tokens that no longer fit.
func (b *bucket) resize(size, rate float64) float64 {
	b.size, b.rate = size, rate
	over := max(0, b.level-size)
	b.level -= over
	return over
}

// add puts tokens in and returns those that do not fit.
func (b *bucket) add(tokens float64) float64 {
	b.level += tokens
	over := max(0, b.level-b.size)
	b.level -= over
	return over
}

// tokenSlack absorbs rounding in sums of tokens.
const tokenSlack = 1e-9

// has reports whether a token is there.
func (b *bucket) has() bool {
	return b.level >= 1-tokenSlack
}

// take removes one token.
func (b *bucket) take() {
	b.level = max(0, b.level-1)
}

// refill returns the time until n tokens are there.
func refill(n, level, rate float64) time.Duration {
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

// never is an instant or a wait beyond every deadline.
const never = time.Duration(1) << 61
