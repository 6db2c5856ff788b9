// Package replica runs one member of the consensus group: it drives a
// raft.Core with storage, a transport and the clock, applies committed entries
// to a state machine, and feeds them to followers without a disk.
//
// One goroutine owns the core and the state machine. Proposals that arrive
// while it waits for the disk go into the next write together, so that many of
// them share one sync.
package replica
