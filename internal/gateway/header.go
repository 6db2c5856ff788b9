package gateway

import (
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/agateslip/agateslip/internal/engine"
)

// Headers of callers.
const (
	headerIdempotencyKey = engine.HeaderIdempotencyKey
	// headerRunOnce marks a call that may run at most once.
	headerRunOnce = "X-Agateslip-Run-Once"
	// headerReplayed marks an answer that an earlier call with the same key got.
	headerReplayed = "X-Agateslip-Replayed"
)

// Headers between this node and upstreams.
const (
	headerAttempt  = engine.HeaderAttempt
	headerResume   = engine.HeaderResumeFrom
	headerNotRun   = engine.HeaderNotRun
	headerPriority = engine.HeaderPriority
)

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// hopHeaders concern one connection and are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set or consumed by this node. Method overrides are dropped,
// because a route rule is matched on the method that was sent.
var ownHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Accept-Encoding",
	headerRunOnce, headerAttempt, headerResume, headerPriority,
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
}

// forwardedHeader is the part of a caller's header that goes to the upstream.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	dropHop(out)
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

func dropHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyAnswerHeader puts the upstream's header on the caller's answer. The
// node's own headers win.
func copyAnswerHeader(dst, src http.Header) {
	dropHop(src)
	for name, values := range src {
		switch name {
		case headerAttempt, headerNotRun, HeaderRequestID, HeaderRan, HeaderReason, headerReplayed:
			continue
		}
		dst[name] = values
	}
}

// validKey says whether an idempotency key is printable ASCII of bounded
// length.
func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < 0x20 || key[i] > 0x7e {
			return false
		}
	}
	return true
}

func sortedNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
