package gateway

import "github.com/cespare/xxhash/v2"

// Bounds of the prompt's block hashes.
const (
	// prefixBlockBytes is the prompt text that one block hash covers.
	prefixBlockBytes = 256
	// maxPrefixBlocks bounds the blocks that are hashed.
	maxPrefixBlocks = 32
)

// promptPrefix hashes the prompt in blocks. Each hash covers everything before
// it too, so that equal hashes mean equal prefixes.
func promptPrefix(req completionRequest) []uint64 {
	text := []byte(req.Messages)
	if len(text) == 0 {
		text = req.Prompt
	}
	var hashes []uint64
	digest := xxhash.New()
	for len(text) >= prefixBlockBytes && len(hashes) < maxPrefixBlocks {
		// The digest's Write never fails.
		_, _ = digest.Write(text[:prefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
		text = text[prefixBlockBytes:]
	}
	return hashes
}
