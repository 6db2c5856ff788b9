package edge

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
)

// fingerprintBytes is the length of a fingerprint: enough that nobody can make up a request with
// the fingerprint of another one.
const fingerprintBytes = 16

// fingerprint returns a hash that is the same for all repeats of a request.
func fingerprint(r *http.Request, content []string, body []byte) string {
	digest := sha256.New()
	writePart := func(part []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	for _, part := range append([]string{r.Method, r.Host, r.RequestURI}, content...) {
		writePart([]byte(part))
	}
	writePart(body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}
