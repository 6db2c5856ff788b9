package eventlog_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/eventlog"
)

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	defer reader.Close()
	log := eventlog.New(writer, nil)
	start := time.Now()
	for range 20000 {
		log.Event("call", eventlog.Fields{"id": "x"})
		log.Logger().Info("line that is not rate-limited and fills the buffer")
	}
	is.True(time.Since(start) < 5*time.Second) // a blocked write would never return
}

func TestBurstIsLimitedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := eventlog.New(&out, eventlog.Fields{"node": "n"})
	for range 1000 {
		log.Event("call", nil)
	}
	time.Sleep(100 * time.Millisecond) // long enough for the limiter to admit a line
	log.Event("call", nil)
	log.Close(time.Second)
	lines := strings.Count(out.String(), "\n")
	is.True(lines >= 80 && lines < 120)
	is.True(strings.Contains(out.String(), `"suppressed":`))
}
