// Package eventlog writes structured log lines without blocking the caller and in
// bounded volume. Each kind of event is rate-limited, and lines that the output does
// not take in time are dropped. The log itself reports both losses: the number of
// suppressed lines and the number of dropped bytes.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// eventsPerSecond limits the lines of one kind. It equals the request rate in a
	// burst: a node in docs/CAPACITY.md takes about four requests a second, and ten
	// times that in a burst.
	eventsPerSecond = 40
	// eventBurst is how many lines of one kind may be written at once.
	eventBurst = 80
	// maxBufferedBytes limits the bytes that wait for the output. It holds about two
	// seconds of lines of all kinds at their full rate.
	maxBufferedBytes = 256 << 10
	// flushInterval is how long a line may wait, so that many lines share one write.
	flushInterval = 100 * time.Millisecond
)

// Fields are the key-value pairs of a line.
type Fields = logrus.Fields

// Log writes events. It is safe for concurrent use.
type Log struct {
	logger *logrus.Entry
	buffer *buffer

	mu       sync.Mutex
	limiters map[string]*kindLimiter
}

// kindLimiter limits the rate of one kind of event and counts the lines it suppressed.
type kindLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

// New returns a log that writes to out in the background. It adds fields to every line.
func New(out io.Writer, fields Fields) *Log {
	b := newBuffer(out)
	logger := logrus.New()
	logger.SetOutput(b)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{logger: logger.WithFields(fields), buffer: b, limiters: map[string]*kindLimiter{}}
}

// Event writes a line with kind as its message, unless the rate limit of that kind is
// reached. The next line of the kind reports how many lines were suppressed.
func (l *Log) Event(kind string, fields Fields) {
	suppressed, ok := l.admit(kind)
	if !ok {
		return
	}
	entry := l.logger.WithFields(fields)
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	if dropped := l.buffer.takeDropped(); dropped > 0 {
		entry = entry.WithField("droppedBytes", dropped)
	}
	entry.Info(kind)
}

// admit reports whether the rate limit of a kind allows another line, and returns how
// many lines of the kind were suppressed since the last one that was written.
func (l *Log) admit(kind string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.limiters[kind]
	if k == nil {
		k = &kindLimiter{limiter: rate.NewLimiter(eventsPerSecond, eventBurst)}
		l.limiters[kind] = k
	}
	if !k.limiter.Allow() {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// Logger returns a logger for packages that write their own lines. These lines share
// the buffer but are not rate-limited.
func (l *Log) Logger() logrus.FieldLogger { return l.logger }

// Close writes the buffered lines and waits for at most the given time.
func (l *Log) Close(wait time.Duration) { l.buffer.close(wait) }

// buffer accepts lines without blocking and writes them in the background.
type buffer struct {
	out io.Writer

	mu sync.Mutex
	// pending holds the lines that are not written yet.
	pending []byte
	// droppedBytes counts the bytes dropped since the last takeDropped.
	droppedBytes int
	// wake tells run that lines are pending.
	wake chan struct{}
	// closing is closed to tell run to write the pending lines and end. done is closed
	// when run has ended.
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newBuffer(out io.Writer) *buffer {
	b := &buffer{
		out:     out,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > maxBufferedBytes {
		b.droppedBytes += len(line)
	} else {
		b.pending = append(b.pending, line...)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// takeDropped returns the number of bytes dropped since the last call.
func (b *buffer) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.droppedBytes
	b.droppedBytes = 0
	return n
}

// run writes the pending lines, at most once per flushInterval, until the buffer is
// closed.
func (b *buffer) run() {
	defer close(b.done)
	for {
		select {
		case <-b.wake:
			select {
			case <-time.After(flushInterval):
			case <-b.closing:
			}
			b.flush()
		case <-b.closing:
			b.flush()
			return
		}
	}
}

// flush writes the pending lines. If the write fails, they count as dropped.
func (b *buffer) flush() {
	b.mu.Lock()
	pending := b.pending
	b.pending = nil
	b.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	if _, err := b.out.Write(pending); err != nil {
		b.mu.Lock()
		b.droppedBytes += len(pending)
		b.mu.Unlock()
	}
}

// close makes run write the pending lines and end. It waits for the end of run, but no
// longer than the given time.
func (b *buffer) close(wait time.Duration) {
	b.closeOnce.Do(func() { close(b.closing) })
	select {
	case <-b.done:
	case <-time.After(wait):
	}
}
