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
	// maxQueuedRecords and maxQueuedBytes bound the queue of records to write. A
	// record larger than maxQueuedBytes is accepted if the queue is empty.
	maxQueuedRecords = 1024
	maxQueuedBytes   = 64 << 20
)

// heartbeat is the record that both ends send once per interval. Ack is the last Seq
// received from the other end, so that each end detects a loss in either direction.
type heartbeat struct {
	Seq uint64 `json:"hb"`
	Ack uint64 `json:"ack"`
}

var heartbeatPrefix = []byte(`{"hb":`)

// link is a connection after the handshake. It implements channel.Channel for a JSON-RPC
// client or server, which receives no heartbeats and whose sends never block.
type link struct {
	conn *progressConn
	// records frames the records on conn.
	records channel.Channel
	// interval is the time between two heartbeats.
	interval   time.Duration
	maxSilence time.Duration
	counters   *counters

	// queue holds the records to write, of queuedBytes in total.
	queue       chan []byte
	queuedBytes atomic.Int64
	// lastRecordAt is the time, as conn.now returns it, at which the last complete
	// record was received.
	lastRecordAt atomic.Int64
	closed       chan struct{}
	closeOnce    sync.Once

	mu sync.Mutex
	// unackedHeartbeats holds the heartbeats that the peer has not acknowledged, oldest
	// first.
	unackedHeartbeats []sentHeartbeat
	// lastSentSeq and lastReceivedSeq are the Seq of the last heartbeats in each
	// direction.
	lastSentSeq     uint64
	lastReceivedSeq uint64
	// acked is set once the peer has acknowledged a heartbeat.
	acked bool
}

// sentHeartbeat is a heartbeat that the peer has not acknowledged. at is the time, as
// conn.now returns it, at which it was sent.
type sentHeartbeat struct {
	seq uint64
	at  time.Duration
}

func newLink(conn *progressConn, reader io.Reader, t Timing, c *counters) *link {
	return &link{
		conn:       conn,
		records:    channel.Header("")(reader, conn),
		interval:   t.Heartbeat,
		maxSilence: t.SilenceTimeout,
		counters:   c,
		queue:      make(chan []byte, maxQueuedRecords),
		closed:     make(chan struct{}),
	}
}

// Send implements channel.Channel. It queues the record and never blocks; it returns an
// error if the link is closed or the queue is full.
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

// Recv implements channel.Channel. It handles received heartbeats and returns the next
// other record. It closes the link on an error.
func (l *link) Recv() ([]byte, error) {
	for {
		record, err := l.records.Recv()
		if err != nil {
			l.Close()
			return nil, err
		}
		l.lastRecordAt.Store(int64(l.conn.now()))
		if !bytes.HasPrefix(record, heartbeatPrefix) {
			return record, nil
		}
		var hb heartbeat
		if err := json.Unmarshal(record, &hb); err != nil {
			l.Close()
			return nil, err
		}
		l.handleHeartbeat(hb)
	}
}

// Close implements channel.Channel. It may be called more than once.
func (l *link) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
	return nil
}

// run writes the queued records and heartbeats, and watches for silence, until the link
// is closed.
func (l *link) run() {
	var wg sync.WaitGroup
	wg.Go(l.watchSilence)
	l.writeLoop()
	wg.Wait()
}

// writeLoop writes a heartbeat at once and at each interval, and the queued records. It
// closes the link when it returns.
func (l *link) writeLoop() {
	defer l.Close()
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	if l.sendHeartbeat() != nil {
		return
	}
	for {
		var err error
		select {
		case <-l.closed:
			return
		case <-ticker.C:
			err = l.sendHeartbeat()
		case record := <-l.queue:
			l.queuedBytes.Add(-int64(len(record)))
			err = l.records.Send(record)
		}
		if err != nil {
			return
		}
	}
}

// sendHeartbeat writes a heartbeat and adds it to unackedHeartbeats.
func (l *link) sendHeartbeat() error {
	l.mu.Lock()
	l.lastSentSeq++
	hb := heartbeat{Seq: l.lastSentSeq, Ack: l.lastReceivedSeq}
	l.unackedHeartbeats = append(l.unackedHeartbeats, sentHeartbeat{seq: hb.Seq, at: l.conn.now()})
	l.mu.Unlock()
	record, err := json.Marshal(hb)
	if err != nil {
		return err
	}
	return l.records.Send(record)
}

// handleHeartbeat records the sequence number to acknowledge and removes the heartbeats
// that the peer has acknowledged.
func (l *link) handleHeartbeat(hb heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceivedSeq = hb.Seq
	for len(l.unackedHeartbeats) > 0 && l.unackedHeartbeats[0].seq <= hb.Ack {
		l.unackedHeartbeats = l.unackedHeartbeats[1:]
	}
	if hb.Ack > 0 {
		l.acked = true
	}
}

// watchSilence closes the link when either direction is silent for longer than
// maxSilence.
func (l *link) watchSilence() {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		if l.conn.stalledFor() > l.maxSilence || l.oldestUnackedAge() > l.maxSilence {
			l.counters.silent.Add(1)
			l.Close()
			return
		}
	}
}

// oldestUnackedAge returns the age of the oldest heartbeat that the peer has not
// acknowledged. It returns zero while part of a record has arrived, because the peer's
// next heartbeat must wait for the rest of that record.
func (l *link) oldestUnackedAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unackedHeartbeats) == 0 || l.conn.readSince(time.Duration(l.lastRecordAt.Load())) {
		return 0
	}
	return l.conn.now() - l.unackedHeartbeats[0].at
}

// alive reports whether the link is open and the peer has acknowledged a heartbeat.
func (l *link) alive() bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}

// writeChunkBytes is the size of the chunks into which a write is split. Each written
// chunk counts as progress, so that a large write on a slow connection is not taken for
// a stalled one.
const writeChunkBytes = 64 << 10

// progressConn is a connection that counts bytes and records the progress of reads and
// writes.
type progressConn struct {
	net.Conn
	counters *counters
	start    time.Time
	// lastReadAt is the time at which Read last returned, as a time.Duration since
	// start.
	lastReadAt atomic.Int64
	// writeProgressAt is the time at which the current write last made progress, as a
	// time.Duration since start; negative while no write is in progress.
	writeProgressAt atomic.Int64
}

func newProgressConn(conn net.Conn, c *counters) *progressConn {
	w := &progressConn{Conn: conn, counters: c, start: time.Now()}
	w.writeProgressAt.Store(-1)
	return w
}

// now returns the monotonic time since the connection was wrapped.
func (w *progressConn) now() time.Duration { return time.Since(w.start) }

// Read implements net.Conn.
func (w *progressConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.lastReadAt.Store(int64(w.now()))
	w.counters.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (w *progressConn) Write(p []byte) (int, error) {
	defer w.writeProgressAt.Store(-1)
	written := 0
	for written < len(p) {
		w.writeProgressAt.Store(int64(w.now()))
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

// readSince reports whether a Read returned later than at, a time as now returns it.
func (w *progressConn) readSince(at time.Duration) bool {
	return time.Duration(w.lastReadAt.Load()) > at
}

// stalledFor returns the time since the last read or, if it is longer, the time since
// the write in progress last made progress.
func (w *progressConn) stalledFor() time.Duration {
	now := w.now()
	idle := now - time.Duration(w.lastReadAt.Load())
	if at := w.writeProgressAt.Load(); at >= 0 {
		idle = max(idle, now-time.Duration(at))
	}
	return idle
}
