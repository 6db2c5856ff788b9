package currency

import "time"

const (
	// driftShift sets the tolerated clock drift: the clocks of two VMs may differ by
	// 1/2^driftShift of the time that passes.
	driftShift = 6
	// reachShare is the share of the bound for which a node that is cut off still acts on its
	// copy, in hundredths.
	reachShare = 60
	// answerReserve is how long a request for a proof and its answer take beyond the time for
	// which the leader holds the answer back.
	answerReserve = 150 * time.Millisecond
	// minHold is the least time for which the leader may hold an answer back.
	minHold = 50 * time.Millisecond
)

// Validity returns how long a proof is valid, counted from when it was asked for, so that no
// node acts on what was withdrawn later than bound after the withdrawal was acknowledged. The
// acknowledgement follows every request whose proof does not cover it.
func Validity(bound time.Duration) time.Duration { return bound - bound>>driftShift }

// Hold returns how long the leader may hold back an answer with a proof, at most upTo. A node
// asks again once it has an answer, so that its latest proof may be two such times old when the
// node is cut off; it stays valid for three fifths of bound from then on.
func Hold(bound, upTo time.Duration) time.Duration {
	return min(upTo, max(minHold, (Validity(bound)-bound*reachShare/100)/2-answerReserve))
}
