// Package testutil holds helpers that the tests of several packages share.
package testutil

import (
	"bytes"
	"sync"
)

// LogBuffer keeps the log output of processes in memory, so that a failed test can show
// it. It is safe for concurrent use.
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

// Tail returns the last n bytes written, or all of them if there are fewer.
func (b *LogBuffer) Tail(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.buf.String()
	return text[max(0, len(text)-n):]
}
