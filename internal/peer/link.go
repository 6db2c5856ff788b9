package peer

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/creachadair/jrpc2/channel"
)

const (
	// maxQueuedRecords and maxQueuedBytes bound what waits to be written; one
	// larger record is accepted when nothing waits.
	maxQueuedRecords = 1024
	maxQueuedBytes   = 64 << 20
)

// heartbeat is the record that both ends send at each interval. Ack returns the
// last Seq received, so that each end notices a loss in either direction.
type heartbeat struct {
	Seq uint64 `json:"hb"`
	Ack uint64 `json:"ack"`
}

var heartbeatPrefix = []byte(`{"hb":`)

// link is a connection after the handshake. It implements channel.Channel: the
// JSON-RPC client or server on top sees no heartbeats, and its sends never
// block.
type link struct {
	conn     *watchedConn
	framed   channel.Channel
	interval time.Duration
	silence  time.Duration
	counters *counters

	queue       chan []byte
	queuedBytes atomic.Int64
	// recordAt is when the last whole record was received, by the connection's
	// time.
	recordAt atomic.Int64
	closed   chan struct{}
	once     sync.Once

	mu       sync.Mutex
	sentAt   []sentHeartbeat
	nextSeq  uint64
	received uint64
	proven   bool
}

// sentHeartbeat is a heartbeat that the peer has not returned; at is the
// connection's time.
type sentHeartbeat struct {
	seq uint64
	at  time.Duration
}

func newLink(conn *watchedConn, reader io.Reader, t Timing, c *counters) *link {
	return &link{
		conn:     conn,
		framed:   channel.Header("")(reader, conn),
		interval: t.Heartbeat,
		silence:  t.Silence,
		counters: c,
		queue:    make(chan []byte, maxQueuedRecords),
		closed:   make(chan struct{}),
	}
}

// Send implements channel.Channel. It queues the record.
func (l *link) Send(record []byte) error {
	select {
	case <-l.closed:
		return errClosed
	default:
	}
	size := int64(len(record))
	if queued := l.queuedBytes.Add(size); queued > maxQueuedBytes && queued > size {
		l.queuedBytes.Add(-size)
		return errQueueFull
	}
	select {
	case l.queue <- record:
		return nil
	default:
		l.queuedBytes.Add(-size)
		return errQueueFull
	}
}

// Recv implements channel.Channel. It returns the next record that is not a
// heartbeat.
func (l *link) Recv() ([]byte, error) {
	for {
		record, err := l.framed.Recv()
		if err != nil {
			l.Close()
			return nil, err
		}
		l.recordAt.Store(int64(l.conn.now()))
		if !bytes.HasPrefix(record, heartbeatPrefix) {
			return record, nil
		}
		var hb heartbeat
		if err := json.Unmarshal(record, &hb); err != nil {
			l.Close()
			return nil, err
		}
		l.heard(hb)
	}
}

// Close implements channel.Channel. It may be called more than once.
func (l *link) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
	return nil
}

// run writes the queue and heartbeats until the link is closed.
func (l *link) run() {
	var wg sync.WaitGroup
	wg.Go(l.watch)
	l.write()
	wg.Wait()
}

func (l *link) write() {
	defer l.Close()
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	if l.beat() != nil {
		return
	}
	for {
		var err error
		select {
		case <-l.closed:
			return
		case <-ticker.C:
			err = l.beat()
		case record := <-l.queue:
			l.queuedBytes.Add(-int64(len(record)))
			err = l.framed.Send(record)
		}
		if err != nil {
			return
		}
	}
}

// beat sends a heartbeat and notes when.
func (l *link) beat() error {
	l.mu.Lock()
	l.nextSeq++
	hb := heartbeat{Seq: l.nextSeq, Ack: l.received}
	l.sentAt = append(l.sentAt, sentHeartbeat{seq: hb.Seq, at: l.conn.now()})
	l.mu.Unlock()
	record, err := json.Marshal(hb)
	if err != nil {
		return err
	}
	return l.framed.Send(record)
}

// heard handles a received heartbeat.
func (l *link) heard(hb heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received = hb.Seq
	for len(l.sentAt) > 0 && l.sentAt[0].seq <= hb.Ack {
		l.sentAt = l.sentAt[1:]
	}
	if hb.Ack > 0 {
		l.proven = true
	}
}

// watch closes the link when it is silent in either direction.
func (l *link) watch() {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		if l.conn.stalledFor() > l.silence || l.unansweredFor() > l.silence {
			l.counters.silent.Add(1)
			l.Close()
			return
		}
	}
}

// unansweredFor returns the age of the oldest heartbeat that the peer has not
// returned. It is zero while a record arrives, behind which the peer's next
// heartbeat waits.
func (l *link) unansweredFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sentAt) == 0 || l.conn.readSince(time.Duration(l.recordAt.Load())) {
		return 0
	}
	return l.conn.now() - l.sentAt[0].at
}

// alive reports whether the peer has returned a heartbeat and the link is open.
func (l *link) alive() bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proven
}

// writeChunkBytes is how much is written between two signs of progress.
const writeChunkBytes = 64 << 10

// watchedConn counts bytes and notes progress of reads and writes.
type watchedConn struct {
	net.Conn
	counters *counters
	start    time.Time
	// readAt and writeAt are since start; writeAt is negative when no write is
	// in progress.
	readAt  atomic.Int64
	writeAt atomic.Int64
}

func watchConn(conn net.Conn, c *counters) *watchedConn {
	w := &watchedConn{Conn: conn, counters: c, start: time.Now()}
	w.writeAt.Store(-1)
	return w
}

// now is the monotonic time since the connection was made.
func (w *watchedConn) now() time.Duration { return time.Since(w.start) }

// Read implements net.Conn.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.readAt.Store(int64(w.now()))
	w.counters.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (w *watchedConn) Write(p []byte) (int, error) {
	defer w.writeAt.Store(-1)
	written := 0
	for written < len(p) {
		w.writeAt.Store(int64(w.now()))
		end := min(len(p), written+writeChunkBytes)
		n, err := w.Conn.Write(p[written:end])
		written += n
		w.counters.sent.Add(uint64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// readSince reports whether anything was read after an instant.
func (w *watchedConn) readSince(at time.Duration) bool {
	return time.Duration(w.readAt.Load()) > at
}

// stalledFor returns the longer of the time since the last read and the time
// that the write in progress has made none.
func (w *watchedConn) stalledFor() time.Duration {
	now := w.now()
	idle := now - time.Duration(w.readAt.Load())
	if at := w.writeAt.Load(); at >= 0 {
		idle = max(idle, now-time.Duration(at))
	}
	return idle
}
