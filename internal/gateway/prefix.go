package gateway

import "github.com/agateslip/agateslip/internal/engine"

// promptPrefix returns the hashes of the prompt's whole-block prefixes, shortest first.
func promptPrefix(req completionRequest) []uint64 {
	if len(req.Messages) > 0 {
		return engine.PrefixHashes(req.Messages)
	}
	return engine.PrefixHashes(req.Prompt)
}
