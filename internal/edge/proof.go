package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/agateslip/agateslip/fleet"
	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/pause"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/upstreamconn"
)

const (
	// proofPatience is how long the first event of a stream may wait for the next announcement of its upstream. Upstreams
	// announce themselves about every second.
	proofPatience = 2500 * time.Millisecond
	// selfReportTimeout bounds the question to an upstream when it started. A sound one answers at once.
	selfReportTimeout = 300 * time.Millisecond
	// silentServiceTTL is how long the upstreams of a service are not asked after one did not tell.
	silentServiceTTL = time.Minute
	// maxSelfReport bounds the answer to it in bytes.
	maxSelfReport = 1 << 20
)

// SelfReporter is a Dialect of upstreams that tell on request when they started.
type SelfReporter interface {
	// SelfReportPath returns the path of a GET request for it. A full upstream answers this too.
	SelfReportPath() string
	// ReportedStart returns when the upstream started, as [fleet.Upstream] has it, from the body of its answer; false if
	// that does not tell.
	ReportedStart(body []byte) (born int64, ok bool)
}

// proof is what is known of whether an upstream has started again.
type proof uint8

const (
	// proofRunning means that the incarnation runs that this node knows.
	proofRunning proof = iota + 1
	// proofReplaced means that another one does.
	proofReplaced
	// proofPending means that nobody can tell before the upstream's next announcement.
	proofPending
	// proofNone means that nobody can tell.
	proofNone
)

// mayHaveStartedAgain reports whether an upstream may have started again under its ID and address since provedAt, so that
// its software may be another one than this node knows, and how a connection to it ended that would have told. Only streams
// that another attempt or call may go on with need to know; without such an end, only where several versions serve.
func (c *call) mayHaveStartedAgain(provedAt time.Duration, several bool) (bool, upstreamconn.Ending) {
	if !c.route.MayRepeat() {
		return false, upstreamconn.NoEnding
	}
	may, how := c.conn.MayBeOfNextProcess(provedAt)
	return may && (several || how != upstreamconn.NoEnding), how
}

// awaitProof asks whether an upstream has started again: itself if it is an engine, since others may take the question for a
// call, and if it does not tell and ended a connection, the leader, which waits for its next announcement. All calls that
// need to know share one question.
func (c *call) awaitProof(u *fleet.Upstream, how upstreamconn.Ending) proof {
	c.awaitsRecord.Store(true)
	defer c.awaitsRecord.Store(false)
	began := boottime.Now()
	asked := c.edge.proofs.DoChan(fmt.Sprint(u.ID, "@", u.Born, how), func() (any, error) {
		found := proofNone
		if c.forEngine {
			found = c.edge.askUpstream(u)
		}
		if found == proofNone && how == upstreamconn.EndedByUpstream {
			found = c.edge.askLeader(fleet.Incarnation{ID: u.ID, Born: u.Born})
		}
		return found, nil
	})
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-began)
	defer cancel()
	select {
	case answer := <-asked:
		c.edge.metrics.Observe("wait for proof of version", boottime.Now()-began)
		return answer.Val.(proof)
	case <-ctx.Done():
		return proofPending
	}
}

// askUpstream asks an upstream when it started.
func (e *Edge) askUpstream(u *fleet.Upstream) proof {
	reporter, ok := e.dialect.(SelfReporter)
	if until, silent := e.silentServices.Load(u.Service); !ok || silent && boottime.Now() < until.(time.Duration) {
		return proofNone
	}
	ctx, cancel := context.WithTimeout(e.ending, selfReportTimeout)
	defer cancel()
	askedAt := boottime.Now()
	body, err := e.selfReport(ctx, u, reporter.SelfReportPath())
	born, told := reporter.ReportedStart(body)
	found := proofNone
	switch {
	case err != nil:
	case !told:
		e.silentServices.Store(u.Service, boottime.Now()+silentServiceTTL)
	case born == u.Born:
		found = proofRunning
		err = e.noteProof(ctx, fleet.Incarnation{ID: u.ID, Born: u.Born}, askedAt)
	case born > u.Born:
		found = proofReplaced
	}
	fields := eventlog.Fields{
		"upstream": u.ID, "known": u.Born, "told": told, "born": born, "waitedMillis": (boottime.Now() - askedAt).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	e.log.Event("upstream asked when it started", fields)
	return found
}

// selfReport returns the body of an upstream's answer to a question about itself. Upstreams do not name these answers, which
// counts on a new connection only.
func (e *Edge) selfReport(ctx context.Context, u *fleet.Upstream, path string) ([]byte, error) {
	id := uuid.NewString()
	conn, err := e.pool.GetNew(ctx, u.Addr, id)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	header, question := e.dialect.Question(id, Attempt{Upstream: u.ID, Remaining: selfReportTimeout})
	if err := conn.Send(&upstreamconn.Request{Method: http.MethodGet, URI: path, Host: u.Addr, Header: header}); err != nil {
		return nil, err
	}
	resp, err := conn.Receive(func(h http.Header) upstreamconn.Owner { return e.dialect.Owner(h, question) })
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil // it does not know the question
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxSelfReport))
	return body, errors.Wrap(err, "read answer")
}

// askLeader asks the leader whether an incarnation of an upstream still runs.
func (e *Edge) askLeader(i fleet.Incarnation) proof {
	ctx, cancel := context.WithTimeout(e.ending, proofPatience)
	defer cancel()
	askedAt := boottime.Now()
	var answer nodelink.ConfirmUpstreamAnswer
	target := e.leader.current()
	err := e.mesh.Call(ctx, target, nodelink.ConfirmUpstream, i, &answer)
	found := proofPending
	code, refused := peer.CodeOf(err)
	switch {
	case refused && code == peer.CodeNoMethod:
		found = proofNone // a control node of an earlier build
	case err != nil:
		pause.For(ctx, retryPause)
	case answer.Replaced:
		found = proofReplaced
	case answer.Running:
		found = proofRunning
		err = e.noteProof(ctx, i, askedAt)
	}
	fields := eventlog.Fields{
		"upstream": i.ID, "known": i.Born, "running": answer.Running, "replaced": answer.Replaced, "asked": target,
		"waitedMillis": (boottime.Now() - askedAt).Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	e.log.Event("leader asked whether an upstream has started again", fields)
	return found
}

// noteProof records that an incarnation ran after the given time.
func (e *Edge) noteProof(ctx context.Context, i fleet.Incarnation, at time.Duration) error {
	return e.loop.Do(ctx, func() {
		if known, ok := e.upstreams[i.ID]; ok && known.desc.Born == i.Born {
			known.provedAt = max(known.provedAt, at)
			e.upstreams[i.ID] = known
		}
	})
}
