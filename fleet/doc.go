// Package fleet keeps which upstreams exist, from what they say of themselves.
// It answers these patterns: announcements that arrive late, twice or after
// those of a later start of the same upstream; upstreams that leave with or
// without a warning; addresses that are given to another upstream; and upstreams
// that fall silent.
//
// A [Registry] numbers its changes, so that a copy elsewhere is brought forward
// by what changed since. Time is an argument; the package has no clock,
// goroutine or I/O.
package fleet
