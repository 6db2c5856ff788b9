// Package replica runs one member of the consensus group. It drives a raft.Core
// with storage, a transport and a clock, applies committed entries to a state
// machine, and keeps the latest ones in memory for followers without a disk.
//
// The goroutine that runs Replica.Run, called the owner, drives the core and the
// state machine. Proposals that are queued while the owner waits for the disk are
// written together, so that they share one sync.
package replica
