package peer

import "sync/atomic"

// Stats counts a mesh's work since it was made.
type Stats struct {
	// Connects counts connections that this node dialed successfully.
	Connects uint64 `json:"connects"`
	// DialFailures counts attempts that failed.
	DialFailures uint64 `json:"dialFailures"`
	// Rejected counts inbound connections that were not a listed peer's.
	Rejected uint64 `json:"rejected"`
	// Silent counts connections closed because they were silent.
	Silent uint64 `json:"silent"`
	// Dropped counts notifications that were not queued.
	Dropped uint64 `json:"dropped"`
	// NotSent and Unknown count failed requests by outcome.
	NotSent uint64 `json:"notSent"`
	Unknown uint64 `json:"unknown"`
	// SentBytes and ReceivedBytes count bytes on the wire.
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

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
