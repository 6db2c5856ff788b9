package edge

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/origin"
	"github.com/agateslip/agateslip/routes"
)

const (
	// originTimeout bounds how long a call waits for the leader's word on the origin of its
	// stream. A new leader is elected within about a second.
	originTimeout = 1500 * time.Millisecond
	// originWaitShare is the share of the time until a call's deadline for which it waits.
	originWaitShare = 0.5
	// maxListAge is the age of the list of upstreams up to which a stream that was begun elsewhere may go on
	// by it. The leader answers within watchWait.
	maxListAge = 2*watchWait + 500*time.Millisecond
	// recordTimeout bounds one request to record streams.
	recordTimeout = 800 * time.Millisecond
)

// reasonOriginUnknown is why calls are refused that take up a stream of unknown origin.
const reasonOriginUnknown = "origin of the stream is unknown"

// takesUpStream reports whether the caller goes on with a stream of an earlier request.
func (c *call) takesUpStream() bool {
	return c.route.Kind == routes.Stream && c.caller.ResumeAfter != ""
}

// streamID returns the ID of the request that began the call's stream.
func (c *call) streamID() string {
	if c.takesUpStream() && c.caller.ResumedID != "" {
		return c.caller.ResumedID
	}
	return c.caller.ID
}

// pinToOrigin restricts a call that takes up a stream to the software version at which that began. If
// the version cannot be told, it refuses the call and returns false.
func (c *call) pinToOrigin() bool {
	request := nodelink.FindStreamRequest{Service: c.dispatchCall.Service}
	if c.caller.ResumedID != "" {
		key := origin.KeyOf(c.dispatchCall.Service, c.caller.ResumedID)
		request.Key = &key
	}
	timeout := min(originTimeout, time.Duration(originWaitShare*float64(c.deadline-boottime.Now())))
	ctx, cancel := context.WithTimeout(c.r.Context(), timeout)
	defer cancel()
	answer, err := c.edge.findStream(ctx, request)
	switch {
	case c.r.Context().Err() != nil:
		c.log("caller left", eventlog.Fields{"while": "waiting"})
		return false
	case err != nil || !answer.Known:
		c.refuse(reasonOriginUnknown, defaultRetryAfter)
		return false
	}
	c.dispatchCall.Pinned, c.dispatchCall.Software = true, answer.Software
	c.pinned.Store(true)
	c.log("takes up a stream", eventlog.Fields{
		"resumes": c.caller.ResumedID, "resumeAfter": c.caller.ResumeAfter, "software": answer.Software,
	})
	return true
}

// findStream asks the leader for the origin of a stream until ctx ends.
func (e *Edge) findStream(ctx context.Context, r nodelink.FindStreamRequest) (nodelink.FindStreamAnswer, error) {
	for {
		var answer nodelink.FindStreamAnswer
		target := e.leader.current()
		err := e.mesh.Call(ctx, target, nodelink.FindStream, r, &answer)
		if err == nil {
			return answer, nil
		}
		pause.For(ctx, retryPause)
		if ctx.Err() != nil {
			e.log.Event("origin of a stream not found", eventlog.Fields{"asked": target, "error": err.Error()})
			return answer, err
		}
	}
}

// mayRelayEvents reports whether the caller may receive events of an attempt at an upstream. The
// upstream must not have started again meanwhile, perhaps with other software, and a stream that it
// begins must be recorded where needed.
func (c *call) mayRelayEvents(u *fleet.Upstream) bool {
	if !c.pinned.Load() && !c.pin(u) {
		return false
	}
	began := boottime.Now()
	for {
		same, recent, several := false, false, false
		provedAt := boottime.Now() // for an upstream that the leader no longer lists
		err := c.edge.loop.Do(c.r.Context(), func() {
			known, ok := c.edge.upstreams[u.ID]
			if ok {
				provedAt = known.provedAt
			}
			same = !ok || known.desc.Born == u.Born
			recent = boottime.Now()-c.edge.upstreamsAskedAt <= maxListAge
			several = c.route.MayRepeat() && c.edge.dispatcher.HasSeveralVersions(u.Service)
		})
		if err != nil || !same {
			return false
		}
		if !recent && c.takesUpStream() {
			c.awaitList()
		} else {
			doubtful, how := c.mayHaveStartedAgain(provedAt, several)
			if !doubtful {
				return true
			}
			switch c.awaitProof(u, how) {
			case proofReplaced:
				return false
			case proofNone:
				return true
			case proofPending:
				if !several && boottime.Now()-began >= proofPatience {
					return true
				}
			case proofRunning:
				// Look again: the answer may be older than the connection.
			}
		}
		if boottime.Now() >= c.deadline || c.edge.ending.Err() != nil {
			return false
		}
	}
}

// awaitList pauses an attempt that must not go on before this node has a recent list of upstreams. A node that was
// suspended, or is cut off from the leader, does not know of upstreams that have started again under their IDs.
func (c *call) awaitList() {
	c.awaitsRecord.Store(true)
	defer c.awaitsRecord.Store(false)
	pause.For(c.r.Context(), retryPause)
}

// pin waits until the call's stream is recorded, if it must be, and restricts the call to the software
// version of the upstream that begins it. It returns false if the caller leaves or the deadline passes
// first.
func (c *call) pin(u *fleet.Upstream) bool {
	if c.record != nil && !c.awaitRecord() {
		return false
	}
	c.dispatchCall.Pinned, c.dispatchCall.Software = true, u.Software
	c.pinned.Store(true)
	return true
}

// startRecord records that the stream begins at the software version of an upstream, unless that is
// recorded already. An earlier record must be durable first, so that it cannot replace this one.
func (c *call) startRecord(u *fleet.Upstream) {
	if c.dispatchCall.Pinned || c.record != nil && c.record.software == u.Software {
		return
	}
	if c.record != nil && !c.awaitRecord() {
		return // the attempt fails for the same reason
	}
	c.record = &streamRecord{
		software: u.Software, key: origin.KeyOf(c.dispatchCall.Service, c.streamID()), ctx: c.r.Context(), done: make(chan struct{}),
	}
	c.edge.streams.add(c.record)
}

// awaitRecord waits until the call's record is durable. It returns false if the caller leaves or the
// deadline passes first.
func (c *call) awaitRecord() bool {
	select {
	case <-c.record.done:
		return true
	default:
	}
	c.awaitsRecord.Store(true)
	defer c.awaitsRecord.Store(false)
	began := boottime.Now()
	timer := time.NewTimer(c.deadline - began)
	defer timer.Stop()
	select {
	case <-c.record.done:
		c.edge.metrics.Observe("wait for record", boottime.Now()-began)
		return true
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	return false
}

// streamRecord is the record of a stream that begins.
type streamRecord struct {
	software string
	key      origin.Key
	// ctx ends with the call.
	ctx context.Context
	// done is closed once the record is durable.
	done chan struct{}
}

// streamRecorder collects the records that the leader has not acknowledged.
type streamRecorder struct {
	mu      sync.Mutex
	pending []*streamRecord
	added   chan struct{}
}

func newStreamRecorder() *streamRecorder { return &streamRecorder{added: make(chan struct{}, 1)} }

func (s *streamRecorder) add(records ...*streamRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, records...)
	select {
	case s.added <- struct{}{}:
	default:
	}
}

// take returns the records whose calls have not ended.
func (s *streamRecorder) take() []*streamRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*streamRecord
	for _, r := range s.pending {
		if r.ctx.Err() == nil {
			live = append(live, r)
		}
	}
	s.pending = nil
	return live
}

// recordStreams has the leader record the streams that begin, until ctx ends. What it does not
// acknowledge is sent again.
func (e *Edge) recordStreams(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.streams.added:
		}
		records := e.streams.take()
		if len(records) == 0 {
			continue
		}
		var request nodelink.RecordStreamsRequest
		for _, r := range records {
			request.Begun = origin.Add(request.Begun, r.software, r.key)
		}
		if err := e.sendRecords(ctx, request); err != nil {
			e.streams.add(records...)
			pause.For(ctx, retryPause)
			continue
		}
		for _, r := range records {
			close(r.done)
		}
	}
}

func (e *Edge) sendRecords(ctx context.Context, r nodelink.RecordStreamsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	target := e.leader.current()
	err := e.mesh.Call(ctx, target, nodelink.RecordStreams, r, nil)
	if err != nil {
		e.log.Event("streams not recorded", eventlog.Fields{"asked": target, "error": err.Error()})
		return err
	}
	e.metrics.Count("streams recorded")
	return nil
}

// applyBases applies the leader's word on the base versions, which this node asked for at askedAt. It
// runs on the loop.
func (e *Edge) applyBases(bases map[string]string, askedAt time.Duration) {
	if before := e.dispatcher.Bases(); !maps.Equal(before, bases) {
		e.log.Event("base versions", eventlog.Fields{"bases": bases})
	}
	e.dispatcher.SetBases(bases, askedAt)
}
