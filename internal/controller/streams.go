package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/origin"
)

const (
	// recordInterval is the least time between two proposals of begun streams. An engine takes
	// longer to write a first event.
	recordInterval = 25 * time.Millisecond
	// recordTimeout bounds the proposal of begun streams.
	recordTimeout = 2 * time.Second
)

// streamRecorder collects the streams that begin at the entry nodes, so that those which begin
// together are recorded by one entry of the log.
type streamRecorder struct {
	mu      sync.Mutex
	pending []origin.Batch
	// waiting gets the outcome of the proposal that records pending.
	waiting []chan error
	running bool
}

// record adds streams and returns a channel that gets the outcome.
func (c *Controller) record(begun []origin.Batch) <-chan error {
	outcome := make(chan error, 1)
	s := &c.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range begun {
		s.pending = origin.AddAll(s.pending, &begun[i])
	}
	s.waiting = append(s.waiting, outcome)
	if !s.running {
		s.running = true
		go c.proposeStreams()
	}
	return outcome
}

// take returns what is to be recorded now. If that is nothing, the recorder no longer runs.
func (s *streamRecorder) take() (begun []origin.Batch, waiting []chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, waiting = s.pending, s.waiting
	s.pending, s.waiting = nil, nil
	s.running = len(waiting) > 0
	return begun, waiting
}

// proposeStreams proposes the collected streams, until there are none.
func (c *Controller) proposeStreams() {
	for {
		begun, waiting := c.streams.take()
		if len(waiting) == 0 {
			return
		}
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		_, err := c.propose(ctx, confstate.Command{Streams: &origin.Change{Begun: begun}})
		cancel()
		if err != nil {
			c.log.Event("streams not recorded", eventlog.Fields{"requests": len(waiting), "error": err.Error()})
			err = c.peerError(err)
		}
		c.metrics.Observe("streams recorded", time.Since(started))
		for _, outcome := range waiting {
			outcome <- err
		}
		time.Sleep(recordInterval - time.Since(started))
	}
}

// serveRecordStreams records streams and answers once that is durable.
func (c *Controller) serveRecordStreams(ctx context.Context, from string, r nodelink.RecordStreamsRequest) (any, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	full := false
	c.stateMachine.streams(func(t *origin.Table) { full = t.RecentRecords() >= origin.MaxRecords })
	if full {
		c.metrics.Count("streams not recorded: too many")
		c.log.Event("streams not recorded", eventlog.Fields{"toldBy": from, "error": "too many records"})
		return nil, peer.Errorf(nodelink.CodeUnavailable, "too many records of streams")
	}
	select {
	case err := <-c.record(r.Begun):
		return struct{}{}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveFindStream tells at which software version a stream began. Every record that was
// acknowledged before the request counts.
func (c *Controller) serveFindStream(ctx context.Context, from string, r nodelink.FindStreamRequest) (any, error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	if _, err := c.raftReplica.ReadBarrier(ctx); err != nil {
		return nil, c.peerError(err)
	}
	var answer nodelink.FindStreamAnswer
	if r.Key != nil {
		c.stateMachine.streams(func(t *origin.Table) { answer.Software, answer.Known = t.Find(r.Service, *r.Key) })
	} else if err := c.loop.Do(ctx, func() {
		if c.origins != nil {
			c.stateMachine.streams(func(t *origin.Table) {
				answer.Software, answer.Known = c.origins.Only(t, r.Service, boottime.Now())
			})
		}
	}); err != nil {
		return nil, err
	}
	c.log.Event("stream taken up", eventlog.Fields{
		"service": r.Service, "named": r.Key != nil, "software": answer.Software, "known": answer.Known, "node": from,
	})
	return answer, nil
}

// reviewOrigins proposes other base versions, or that old records expire, when that is due.
func (c *Controller) reviewOrigins(ctx context.Context, now time.Duration) {
	if c.proposingOrigins {
		return
	}
	var change *origin.Change
	c.stateMachine.streams(func(t *origin.Table) {
		change = c.origins.Review(t, func() []fleet.Upstream { return c.registry.Since(0) }, now)
	})
	if change == nil {
		return
	}
	if change.Bases != nil {
		c.log.Event("base versions change", eventlog.Fields{"term": c.term, "bases": *change.Bases})
	}
	c.proposingOrigins = true
	c.proposeForTerm(ctx, "base versions not changed", confstate.Command{Streams: change}, func() { c.proposingOrigins = false })
}

// baseVersions returns the base versions for the entry nodes. It runs on the loop of the leader.
func (c *Controller) baseVersions() *map[string]string {
	var bases map[string]string
	c.stateMachine.streams(func(t *origin.Table) { bases = c.origins.Bases(t) })
	return &bases
}
