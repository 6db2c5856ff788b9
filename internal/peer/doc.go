// Package peer links the system's processes by JSON-RPC 2.0 over TCP.
//
// Each node dials every peer and sends its requests and notifications on that
// connection; the peer's own go the other way on a second one. A connection
// begins with a mutual challenge and response on a shared secret, which keeps
// strangers out but does not encrypt. Both ends send heartbeats on it and close
// it when it is silent in either direction; the dialing end then replaces it.
package peer
