package gateway

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/agateslip/agateslip/internal/engine"
)

// Headers between callers and this node.
const (
	headerIdempotencyKey = engine.HeaderIdempotencyKey
	// headerRunOnce marks a call that may run at most once; any non-empty value counts.
	headerRunOnce = "X-Agateslip-Run-Once"
	// headerReplayed marks the recorded answer of an earlier call with the same
	// idempotency key.
	headerReplayed = "X-Agateslip-Replayed"
)

// Headers between this node and upstreams.
const (
	headerAttempt    = engine.HeaderAttempt
	headerResumeFrom = engine.HeaderResumeFrom
	headerNotRun     = engine.HeaderNotRun
	headerPriority   = engine.HeaderPriority
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// strippedHeaders are set or consumed by this node and are not forwarded. Method
// overrides are among them because route rules are matched on the method of the
// request: with an override the upstream would run another method than the rule was
// matched on.
var strippedHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Accept-Encoding",
	headerRunOnce, headerAttempt, headerResumeFrom, headerPriority,
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
}

// forwardedHeader returns a copy of the caller's header without the fields that must
// not reach the upstream.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	removeHopByHopHeaders(out)
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	return out
}

// removeHopByHopHeaders deletes hopByHopHeaders and the fields that Connection lists.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyAnswerHeader copies an upstream's response header src to dst, except for the
// fields that this node sets. It removes the hop-by-hop fields from src.
func copyAnswerHeader(dst, src http.Header) {
	removeHopByHopHeaders(src)
	for name, values := range src {
		switch name {
		case headerAttempt, headerNotRun, HeaderRequestID, HeaderRan, HeaderReason, headerReplayed:
			continue
		}
		dst[name] = values
	}
}

// validIdempotencyKey reports whether key is printable ASCII of at most
// maxIdempotencyKeyBytes bytes.
func validIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < 0x20 || key[i] > 0x7e {
			return false
		}
	}
	return true
}

func sortedHeaderNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
