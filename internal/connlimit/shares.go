package connlimit

import "syscall"

const (
	// connMemory is the approximate memory of a connection between requests, in bytes: two buffers and two stacks.
	connMemory = 16 << 10
	// headShare and connShare are the ratios of the process's memory to that which heads and idle connections may take.
	// Bodies have a part of their own.
	headShare = 8
	connShare = 4
	// unreadShare is the ratio of the process's memory to what the system may have received on the connections of a listener.
	unreadShare = 8
	// minReadBuffer and maxReadBuffer bound the part of a connection of that, in bytes. The least one lets a caller 6 ms away send
	// some 2.5 MB a second.
	minReadBuffer = 16 << 10
	maxReadBuffer = 128 << 10
	// callerShare is the ratio of the process's descriptors to those of callers: a call takes two, its caller's and its upstream's.
	callerShare = 2
	// operatorShare is the part of the descriptors of a control node that its operators and upstreams may take. Thousands of upstreams
	// keep a connection each to announce themselves; the rest is for other nodes and for orders.
	operatorShare = 0.75
	// upstreamShare is the ratio of the process's descriptors to those of upstreams that announce themselves, where they have a
	// listener of their own.
	upstreamShare = 8
	// sideShare is the ratio of the process's descriptors to those of each other listener.
	sideShare = 16
	// pendingShare is the ratio of the process's descriptors to those of connections between nodes whose handshake is
	// incomplete.
	pendingShare = 8
	// minSide is the least number of connections of a listener beside that of callers.
	minSide = 16
	// defaultDescriptors is assumed where neither the settings nor the system state a limit.
	defaultDescriptors = 4096
)

// Shares are the parts of a process that its connections may take.
type Shares struct {
	// HeadMemory is the memory of all heads, in bytes; zero means no limit.
	HeadMemory int64
	// Callers bounds the connections of callers, Operators those of the operators and upstreams of a control node, Upstreams those of
	// a listener for announcements only, and Side those of each other listener.
	Callers, Operators, Upstreams, Side int
	// Pending bounds the connections of other nodes whose handshake is incomplete.
	Pending int
	// UnreadMemory is what the system may receive for a listener before it is read, in bytes; zero means no limit.
	UnreadMemory int
}

// ReadBuffer returns how many bytes the system may receive on each of some connections before they are read; zero means no limit.
func (s Shares) ReadBuffer(connections int) int {
	if s.UnreadMemory == 0 || connections <= 0 {
		return 0
	}
	return min(max(minReadBuffer, s.UnreadMemory/connections), maxReadBuffer)
}

// SharesOf divides the memory of a process, in MiB, and its descriptors. Memory that is zero bounds nothing; for descriptors, the
// system's limit stands in.
func SharesOf(memoryMB, descriptors int) Shares {
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	s := Shares{
		HeadMemory:   int64(memoryMB) << 20 / headShare,
		UnreadMemory: memoryMB << 20 / unreadShare,
		Callers:      max(minSide, descriptors/callerShare),
		Operators:    max(minSide, int(operatorShare*float64(descriptors))),
		Upstreams:    max(minSide, descriptors/upstreamShare),
		Side:         max(minSide, descriptors/sideShare),
		Pending:      max(minSide, descriptors/pendingShare),
	}
	if memoryMB > 0 {
		inMemory := max(minSide, memoryMB<<20/connShare/connMemory)
		s.Callers, s.Operators = min(s.Callers, inMemory), min(s.Operators, inMemory)
	}
	return s
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 || limit.Cur > 1<<20 {
		return defaultDescriptors
	}
	return int(limit.Cur)
}
