package eventstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/eventstream"
)

// read returns the events of a stream and the error at its end.
func read(source io.Reader, opts eventstream.Options) (events []string, err error) {
	r := eventstream.NewReader(source, opts)
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.Text))
	}
}

// soundStreams are streams that end after a whole event.
var soundStreams = []string{
	"",
	"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
	"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
	"id: 1\r\ndata: a\n\r\nid: 2\rdata: b\r\n\n",
	"\uFEFFid: 1\ndata: a\n\n",
	"\uFEFF: begins\n\n",
	": heartbeat\n\n:\n\ndata: a\n\n",
	": heartbeat\n: heartbeat\ndata: a\n\n: end\n",
	"data\n\ndata:\n\ndata: a\ndata: b\n\n",
	"event: done\nretry: 100\nid:5\ndata:x\n\n",
	"\n\ndata: a\n\n\n\n",
	"data: HTTP/1.1 503 Service Unavailable\n\ndata: a: b\n\n",
	"version: 3\nid: 1\ndata: a\n\n",
	": heartbeat\nversion: 3\nid: 1\ndata: a\n\n",
	"data: " + strings.Repeat("x", 10_000) + "\r\n\r\n",
}

// TestSoundStreamsAreRead guards against streams that break off although each line belongs to them, however the bytes
// arrive.
func TestSoundStreamsAreRead(t *testing.T) {
	is := is.New(t)
	opts := eventstream.Options{FirstLine: func(line []byte) bool { return string(line) == "version: 3" }}
	for _, stream := range soundStreams {
		for _, source := range []io.Reader{
			strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream)), iotest.DataErrReader(strings.NewReader(stream)),
		} {
			events, err := read(source, opts)
			is.Equal(err, io.EOF)
			is.Equal(strings.Join(events, ""), stream)
		}
	}
}

// TestForeignLinesAreFound guards against the head or text of another answer in a stream.
func TestForeignLinesAreFound(t *testing.T) {
	is := is.New(t)
	before := "id: 1\ndata: a\n\n"
	for _, foreign := range []string{
		"HTTP/1.1 503 Service Unavailable\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\rContent-Length: 0\r\r",
		"overloaded\n\n", "error: overloaded\n\n", `{"error":"overloaded"}` + "\n\n", " data: a\n\n", "Data: a\n\n",
		"id: 2\ndata: haHTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail",
		"id: 2\nversion: 3\ndata: b\n\n", "id: 2\nid: 1\ndata: a\n\n", "\uFEFFid: 2\ndata: b\n\n", "data: a\rHTTP/1.1 500 x\n\n",
	} {
		opts := eventstream.Options{FirstLine: func(line []byte) bool { return string(line) == "version: 3" }}
		for _, source := range []io.Reader{
			strings.NewReader(before + foreign), iotest.OneByteReader(strings.NewReader(before + foreign)),
		} {
			events, err := read(source, opts)
			is.True(errors.Is(err, eventstream.ErrForeignLine))
			is.Equal(strings.Join(events, ""), before)
		}
	}
}

// TestPartOfEventIsNoEnd guards against a stream that looks complete although it ends within an event.
func TestPartOfEventIsNoEnd(t *testing.T) {
	is := is.New(t)
	whole := "id: 1\ndata: a\n\n"
	for cut := 1; cut < len(whole); cut++ {
		events, err := read(strings.NewReader(whole+whole[:cut]), eventstream.Options{})
		is.Equal(err, io.ErrUnexpectedEOF)
		is.Equal(len(events), 1)
	}
}

// TestEventIsNotHeldBack guards against an event that waits for the byte after it, as the LF that may follow CR.
func TestEventIsNotHeldBack(t *testing.T) {
	for _, event := range []string{"data: a\n\n", "data: a\r\n\r\n", "data: a\r\r"} {
		is := is.New(t)
		source, end := io.Pipe()
		defer end.Close()
		go func() { _, _ = io.WriteString(end, event) }()
		got := make(chan string, 1)
		go func() {
			e, _ := eventstream.NewReader(source, eventstream.Options{}).Next()
			got <- string(e.Text)
		}()
		select {
		case text := <-got:
			is.Equal(text, event)
		case <-time.After(5 * time.Second):
			t.Fatal("no event")
		}
	}
}

// TestFieldsOfEvents reads the values that relays go by.
func TestFieldsOfEvents(t *testing.T) {
	is := is.New(t)
	r := eventstream.NewReader(strings.NewReader("\uFEFFdata:  a \nid:7\r\ndata: b\n\nid:\n\n: c\n\n"), eventstream.Options{Continues: true})
	e, err := r.Next()
	is.NoErr(err)
	is.Equal(string(e.Text), "data:  a \nid:7\r\ndata: b\n\n")
	is.Equal(string(e.ID), "7")
	is.Equal(string(e.Data), "a")
	e, err = r.Next()
	is.NoErr(err)
	is.True(e.ID != nil && len(e.ID) == 0 && e.Data == nil)
	e, err = r.Next()
	is.NoErr(err)
	is.True(e.ID == nil && e.Data == nil)
}

// TestLargeEventIsRefused bounds the memory that an event takes.
func TestLargeEventIsRefused(t *testing.T) {
	_, err := read(strings.NewReader(strings.Repeat("data: a\n", 200_000)), eventstream.Options{})
	is.New(t).True(err != nil && !errors.Is(err, io.EOF))
}
