// Package peer connects the system's nodes by JSON-RPC 2.0 over TCP.
//
// Each node dials every peer and sends its own requests and notifications on that
// connection. The peer's requests arrive on a second connection, which the peer
// dialed. Each connection starts with a handshake in which both ends prove that they
// know the shared secret. This authenticates nodes but encrypts nothing. Both ends
// then send heartbeats and close the connection when either direction is silent; the
// dialing end reconnects.
package peer
