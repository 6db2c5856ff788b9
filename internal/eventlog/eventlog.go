// Package eventlog writes structured lines without ever holding up those who
// write them, and in bounded volume: each kind of event has a rate, and what a
// reader does not take in time is dropped. Both losses are counted in the log
// itself.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// eventsPerSecond bounds the lines of one kind; a node of docs/CAPACITY.md
	// takes about four requests a second, ten times that in a burst.
	eventsPerSecond = 40
	// eventBurst is how many lines of one kind may come at once.
	eventBurst = 80
	// bufferBytes bounds what waits for the reader; about two seconds of lines of
	// all kinds at their full rate.
	bufferBytes = 256 << 10
	// flushInterval is how long a line may wait, so that many share one write.
	flushInterval = 100 * time.Millisecond
)

// Fields are the values of a line.
type Fields = logrus.Fields

// Log writes events. Its methods may be called from any goroutine.
type Log struct {
	logger *logrus.Entry
	buffer *buffer

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the rate of one kind of event.
type kind struct {
	limit      *rate.Limiter
	suppressed int
}

// New writes to out in the background; the fields stand in each line.
func New(out io.Writer, fields Fields) *Log {
	b := newBuffer(out)
	logger := logrus.New()
	logger.SetOutput(b)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{logger: logger.WithFields(fields), buffer: b, kinds: map[string]*kind{}}
}

// Event writes a line of a kind unless the kind's rate is used up. The next line
// of the kind says how many were suppressed.
func (l *Log) Event(name string, fields Fields) {
	suppressed, ok := l.admit(name)
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
	entry.Info(name)
}

func (l *Log) admit(name string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(eventsPerSecond, eventBurst)}
		l.kinds[name] = k
	}
	if !k.limit.Allow() {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// Logger is for packages that write by themselves; it shares the buffer, not the
// rates.
func (l *Log) Logger() logrus.FieldLogger { return l.logger }

// Close writes what is buffered, for at most the given time.
func (l *Log) Close(wait time.Duration) { l.buffer.close(wait) }

// buffer takes lines at once and writes them later.
type buffer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
}

func newBuffer(out io.Writer) *buffer {
	b := &buffer{
		out:    out,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	if len(b.pending)+len(line) > bufferBytes {
		b.dropped += len(line)
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

func (b *buffer) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// run writes what is pending, a few times a second at most.
func (b *buffer) run() {
	defer close(b.done)
	for {
		select {
		case <-b.wake:
			select {
			case <-time.After(flushInterval):
			case <-b.closed:
			}
			b.flush()
		case <-b.closed:
			b.flush()
			return
		}
	}
}

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
		b.dropped += len(pending)
		b.mu.Unlock()
	}
}

func (b *buffer) close(wait time.Duration) {
	b.once.Do(func() { close(b.closed) })
	select {
	case <-b.done:
	case <-time.After(wait):
	}
}
