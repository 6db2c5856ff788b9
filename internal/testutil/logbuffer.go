// Package testutil is support that tests of several packages share.
package testutil

import (
	"bytes"
	"sync"
)

// LogBuffer keeps what processes log until a test has failed. Any goroutine may
// write to it.
type LogBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Tail returns the last bytes, at most n.
func (b *LogBuffer) Tail(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	return text[max(0, len(text)-n):]
}
