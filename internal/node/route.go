package node

import (
	"context"
	"time"

	"github.com/agateslip/agateslip/internal/engine"
	"github.com/agateslip/agateslip/internal/gateway"
	"github.com/agateslip/agateslip/routing"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// router implements gateway.Router by asking the control loop.
type router struct{ loop *controlLoop }

// selection is the selector's choice of an upstream and its result code, or the refusal of
// a call that may not be sent.
type selection struct {
	choice  routing.Choice
	result  routing.Result
	refusal *gateway.Refusal
}

// Pick implements gateway.Router.
func (r *router) Pick(c *gateway.Call, tried []string, software *string) (gateway.Route, error) {
	q := routing.Query{Customer: c.Customer(), Service: c.Service, Domain: r.loop.node.cfg.Domain, Software: software, Exclude: tried}
	if c.Service == "" {
		q.Model = targetKey(c.Customer(), c.Model.Name, "")
		q.Adapter = c.Adapter
		q.Prefix = blockHashes(c.PrefixHashes)
	}
	c.Fingerprint() // not on the control goroutine, which would hold up other calls
	p, ok := call(context.Background(), r.loop, func() selection {
		if refusal := r.loop.crashRefusal(c); refusal != nil {
			return selection{refusal: refusal}
		}
		p := r.loop.pick(q, len(tried) == 0)
		if p.result == routing.Chosen && r.loop.crashes.useTrial(c) {
			r.loop.log.WithFields(logrus.Fields{"upstream": p.choice.Upstream, "request": c.Fingerprint()}).Info("sent on trial")
		}
		return p
	})
	if p.refusal != nil {
		return gateway.Route{}, p.refusal
	}
	if !ok || p.result != routing.Chosen {
		refusal := gateway.NewRefusal(gateway.ReasonNoUpstream, defaultRetryAfter, "no upstream can take the call: "+p.result.String())
		return gateway.Route{}, errors.Mark(refusal, gateway.ErrBusy)
	}
	return gateway.Route{
		Upstream: p.choice.Upstream,
		Addr:     p.choice.Addr,
		Software: p.choice.Software,
		Resumes:  c.Service == "",
		Lost: func() {
			r.loop.post(context.Background(), func() { r.loop.recordLoss(c, p.choice.Upstream) })
		},
		Done: func(res gateway.AttemptResult) { r.done(c, p.choice, res) },
	}, nil
}

// blockHashes converts prefix hashes to the routing type.
func blockHashes(hashes []uint64) []routing.BlockHash {
	blocks := make([]routing.BlockHash, len(hashes))
	for i, h := range hashes {
		blocks[i] = routing.BlockHash(h)
	}
	return blocks
}

// pick selects an upstream and records that the call is sent to it. Only the first
// attempt counts towards the retry budgets.
func (l *controlLoop) pick(q routing.Query, first bool) selection {
	choice, result := l.selector.Select(q, l.now())
	if result == routing.Chosen {
		l.selector.Sent(choice, q.Prefix, l.now())
		if first {
			l.retrier.Sent(choice.Upstream, q.Customer)
		}
	}
	return selection{choice: choice, result: result}
}

// done reports the end of an attempt to the selector.
func (r *router) done(c *gateway.Call, choice routing.Choice, res gateway.AttemptResult) {
	ending := map[gateway.AttemptResult]routing.Ending{
		gateway.AttemptOK:          routing.Answered,
		gateway.AttemptFailed:      routing.Failed,
		gateway.AttemptRefused:     routing.Rejected,
		gateway.AttemptDoubtful:    routing.Doubtful,
		gateway.AttemptCanceled:    routing.Canceled,
		gateway.AttemptInterrupted: routing.Canceled,
	}[res]
	r.loop.post(context.Background(), func() {
		r.loop.selector.Done(choice, ending, r.loop.now())
		if res == gateway.AttemptOK {
			r.loop.recordServed(c)
		}
	})
}

// noDeadline is later than every deadline; a started stream has none.
const noDeadline = time.Duration(1<<63 - 1)

// MayRetry implements gateway.Router.
func (r *router) MayRetry(c *gateway.Call, f gateway.FailedAttempt) (time.Duration, bool) {
	a := routing.Attempt{
		Upstream:   f.Upstream,
		Customer:   c.Customer(),
		Execution:  execution(f.Ran),
		Idempotent: !c.RunsOnce,
		Resumable:  f.Resumable && f.Progressed,
		Number:     f.Number,
		Deadline:   r.loop.now() + time.Until(c.Deadline),
	}
	if f.Resumable {
		a.Deadline = noDeadline
	}
	type answer struct {
		wait   time.Duration
		denial routing.RetryDenial
	}
	got, ok := call(context.Background(), r.loop, func() answer {
		wait, denial := r.loop.retrier.Retry(a, r.loop.now())
		return answer{wait, denial}
	})
	return got.wait, ok && got.denial == routing.Allowed
}

func execution(ran gateway.Ran) routing.Execution {
	switch ran {
	case gateway.NotRun:
		return routing.NotRun
	case gateway.DidRun:
		return routing.Ran
	default:
		return routing.Indeterminate
	}
}

// cacheEvents applies upstreams' cache events to the selector's prefix index.
type cacheEvents struct {
	selector *routing.Selector
}

func newCacheEvents(s *routing.Selector) *cacheEvents {
	return &cacheEvents{selector: s}
}

// apply applies one batch and reports whether the upstream should send its whole cache.
// Events whose prefix cannot be parsed are skipped.
func (ce *cacheEvents) apply(b engine.CacheEvents, now time.Duration) bool {
	index := ce.selector.Prefixes()
	kind := routing.Added
	if b.Full {
		kind = routing.Resynced
	}
	var added, removed []routing.BlockHash
	for _, e := range b.Events {
		h, ok := engine.ParsePrefix(e.Prefix)
		switch {
		case !ok:
		case e.Op == engine.CacheRemove:
			removed = append(removed, routing.BlockHash(h))
		default:
			added = append(added, routing.BlockHash(h))
		}
	}
	index.Apply(routing.CacheEvent{Upstream: b.ID, Incarnation: b.Incarnation, Seq: b.Seq, Kind: kind, Blocks: added, Dropped: removed}, now)
	for _, id := range index.TakeResyncs() {
		if id == b.ID {
			return true
		}
	}
	return false
}
