// Package detour connects an entry node to upstreams through another entry node.
//
// Load pattern: an entry node, or most of a failure domain, loses its paths to all upstreams for
// seconds, while callers, control nodes and the other entry nodes still reach it. Callers keep
// arriving, so that refusing them is no way out.
//
// A detour carries the bytes of one connection and nothing else. All that was promised stays with the node
// that the caller reached: deadline, retries, permits, the stream's software version, and whether a
// call was sent. The node in between connects to the upstream itself, so that a detour never has a
// second hop.
//
// An answer without a length ends with the connection of its upstream. The node in between says so in the bytes
// that it passes on, because its own connection ends as well when it stops or is killed.
//
// [Paths] tells a node whose paths are down from upstreams that are down: it takes detours while new
// connections to several upstreams fail and none succeeds. [Server] is the node in between.
package detour
