package peer

import "sync/atomic"

// Stats holds a mesh's counters since it was created.
type Stats struct {
	// Connects counts outbound connections whose handshake succeeded.
	Connects uint64 `json:"connects"`
	// DialFailures counts failed attempts to connect, handshake included.
	DialFailures uint64 `json:"dialFailures"`
	// Rejected counts inbound connections that failed the handshake, were not from a
	// listed peer, or exceeded the limit of pending handshakes.
	Rejected uint64 `json:"rejected"`
	// Silent counts connections that this node closed because they were silent.
	Silent uint64 `json:"silent"`
	// Dropped counts notifications that were not queued.
	Dropped uint64 `json:"dropped"`
	// NotSent counts calls that failed with ErrNotSent.
	NotSent uint64 `json:"notSent"`
	// Unknown counts calls that failed with ErrOutcomeUnknown.
	Unknown uint64 `json:"unknown"`
	// SentBytes and ReceivedBytes count bytes on the wire, handshakes included.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

// counters holds the values of Stats.
type counters struct {
	connects, dialFailures, rejected, silent atomic.Uint64
	dropped, notSent, unknown                atomic.Uint64
	sent, received                           atomic.Uint64
}

func (c *counters) stats() Stats {
	return Stats{
		Connects:      c.connects.Load(),
		DialFailures:  c.dialFailures.Load(),
		Rejected:      c.rejected.Load(),
		Silent:        c.silent.Load(),
		Dropped:       c.dropped.Load(),
		NotSent:       c.notSent.Load(),
		Unknown:       c.unknown.Load(),
		SentBytes:     c.sent.Load(),
		ReceivedBytes: c.received.Load(),
	}
}
