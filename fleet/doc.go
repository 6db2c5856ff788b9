// Package fleet records which upstreams exist, from their own announcements. It handles
// announcements that arrive late, twice, or after those of a later start of the same
// upstream; upstreams that leave with or without a warning; addresses that are given to
// another upstream; and upstreams that fall silent.
//
// A [Registry] numbers its changes, so that a copy on another node can be updated
// with the changes after the latest that it has. Time is an argument; the package has
// no clock, goroutine or I/O.
package fleet
