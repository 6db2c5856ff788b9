// Package ratelimit divides the rate at which an upstream takes calls among the nodes that
// send them.
//
// Load pattern: an upstream in need names a rate that holds for all nodes together, often
// about one call a second for hundreds of nodes. The calls for it arrive at any of the
// nodes, or all at one. A fixed part for each node would be less than one call for most
// of them, and the first calls of all nodes together would exceed the rate. So one node,
// the leader, owns the rate: a node may send a call once it holds a permit for it.
//
// An [Allocator] hands out the permits; [Permits] are those that a node holds. Permits that
// are not used in time are void, so that a node which froze or was cut off does not use
// them later. A new leader begins with no permits to hand out. Calls that wait for a permit
// come first, by priority; without any, permits go to nodes that send calls elsewhere
// meanwhile, so that it shows when the upstream names another limit or none.
//
// [Slots] divides what upstreams take at once, where these must not turn calls away.
//
// The package has no clock, goroutine, I/O or randomness.
package ratelimit
