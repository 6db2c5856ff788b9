// Package eventstream splits streams of server-sent events into events, and tells their lines from foreign bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 2 << 10
	// maxEventBytes bounds what is buffered of an incomplete event.
	maxEventBytes = 1 << 20
	// maxQuotedBytes bounds what an error quotes of a line.
	maxQuotedBytes = 60
)

// ErrForeignLine means that a line is none of an event stream, so that it comes from somebody else.
var ErrForeignLine = errors.New("line is no field of an event")

// byteOrderMark may begin a stream.
var byteOrderMark = []byte("\uFEFF")

// Options configures a Reader. The zero value reads a stream from its beginning.
type Options struct {
	// Append extends the buffer of an event. If it is nil, the built-in function does.
	Append func(buffer, p []byte) ([]byte, error)
	// FirstLine reports whether a line, without its end, may begin an event although it is no field; nil means no.
	FirstLine func(line []byte) bool
	// AnyField allows fields of other names than those of the standard, which readers ignore.
	AnyField bool
	// Continues is set if the stream goes on with an earlier one, within which a byte order mark has no place.
	Continues bool
}

// Event is a complete event or comment. Its slices are valid until the next call of Next.
type Event struct {
	// Text is the event as it was sent, the blank line at its end included.
	Text []byte
	// ID is the value of its id field, and Data that of its first data field; nil if it has none.
	ID, Data []byte
}

// Reader reads the events of a stream. Lines end with LF, CR or both.
type Reader struct {
	opts   Options
	source *bufio.Reader
	// text holds what was read of the current event, the last line of which begins at line.
	text []byte
	line int
	// id and data are the bounds of the values in text.
	id, data span
	fields   int
	// afterCR is set if the last line ended with CR, whose LF may follow. begun is set after the first line.
	afterCR, begun bool
}

type span struct {
	start, end int
	set        bool
}

// NewReader returns a reader of the stream in source.
func NewReader(source io.Reader, opts Options) *Reader {
	if opts.Append == nil {
		opts.Append = func(buffer, p []byte) ([]byte, error) { return append(buffer, p...), nil }
	}
	return &Reader{opts: opts, source: bufio.NewReaderSize(source, bufferBytes)}
}

// Next returns the next event. It returns io.EOF only if the stream ends after a whole event. Its error is marked with
// ErrForeignLine if the stream contains a line that is none of an event.
func (r *Reader) Next() (Event, error) {
	r.text, r.line, r.fields, r.id, r.data = r.text[:0], 0, 0, span{}, span{}
	for {
		complete, err := r.readLine()
		switch {
		case complete:
			return r.event(), nil
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return Event{}, err
		case len(r.text) > r.line || r.fields > 0:
			return Event{}, io.ErrUnexpectedEOF
		case r.line > 0:
			// Only comments, or the LF that belongs to the CR at the end of the last event.
			return r.event(), nil
		}
		return Event{}, err
	}
}

// event returns the event in text.
func (r *Reader) event() Event {
	return Event{Text: r.text, ID: r.value(r.id), Data: r.value(r.data)}
}

// value returns the value of a field without the space around it; nil if the event lacks the field.
func (r *Reader) value(s span) []byte {
	if !s.set {
		return nil
	}
	if v := bytes.TrimSpace(r.text[s.start:s.end]); v != nil {
		return v
	}
	return r.text[s.end:s.end]
}

// readLine reads one line into text and checks it. It reports whether the line is blank, which ends an event.
func (r *Reader) readLine() (blank bool, err error) {
	for {
		if r.source.Buffered() == 0 {
			if _, err := r.source.Peek(1); err != nil {
				return false, err
			}
		}
		window, err := r.source.Peek(r.source.Buffered())
		if err != nil {
			return false, err
		}
		end := bytes.IndexByte(window, '\n')
		if r.afterCR {
			r.afterCR = false
			if end == 0 {
				if err := r.take(window[:1]); err != nil {
					return false, err
				}
				r.line = len(r.text)
				continue
			}
		}
		if cr := bytes.IndexByte(window[:max(end, 0)], '\r'); cr >= 0 {
			end = cr
		} else if end < 0 {
			end = bytes.IndexByte(window, '\r')
		}
		if end < 0 {
			if err := r.take(window); err != nil {
				return false, err
			}
			continue
		}
		next := end + 1
		if window[end] == '\r' {
			if next == len(window) {
				r.afterCR = true
			} else if window[next] == '\n' {
				next++
			}
		}
		if err := r.take(window[:next]); err != nil {
			return false, err
		}
		return r.checkLine(len(r.text) - (next - end))
	}
}

// take moves the next buffered bytes, p, to text.
func (r *Reader) take(p []byte) (err error) {
	if r.text, err = r.opts.Append(r.text, p); err != nil {
		return err
	}
	if len(r.text) > maxEventBytes {
		return errors.Newf("event is larger than %d bytes", maxEventBytes)
	}
	_, err = r.source.Discard(len(p))
	return err
}

// checkLine checks the last line of text, whose own end begins at end.
func (r *Reader) checkLine(end int) (blank bool, err error) {
	line := r.text[r.line:end]
	if !r.begun {
		r.begun = true
		if rest, ok := bytes.CutPrefix(line, byteOrderMark); ok {
			line = rest
			if r.opts.Continues {
				r.text = append(r.text[:r.line], r.text[r.line+len(byteOrderMark):]...)
				end -= len(byteOrderMark)
				line = r.text[r.line:end]
			}
		}
	}
	r.line = len(r.text)
	if len(line) == 0 {
		return true, nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	at := span{start: end - len(value), end: end, set: true}
	switch string(name) {
	case "":
		return false, nil // a comment
	case "id":
		if r.id.set {
			return false, foreignLine(line)
		}
		r.id = at
	case "data":
		if !r.data.set {
			r.data = at
		}
	case "event", "retry":
	default:
		if r.opts.AnyField && isToken(name) {
			break
		}
		if r.fields > 0 || r.opts.FirstLine == nil || !r.opts.FirstLine(line) {
			return false, foreignLine(line)
		}
	}
	r.fields++
	return false, nil
}

func foreignLine(line []byte) error {
	return errors.Mark(fmt.Errorf("foreign line %.*q", maxQuotedBytes, line), ErrForeignLine)
}

// isToken reports whether a name consists of letters, digits, hyphens and underscores.
func isToken(name []byte) bool {
	for _, b := range name {
		switch {
		case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9', b == '-', b == '_':
		default:
			return false
		}
	}
	return true
}
