package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/boottime"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/nodelink"
	"github.com/agateslip/agateslip/internal/peer"
	"github.com/agateslip/agateslip/internal/storage"
	"github.com/agateslip/agateslip/raft"
)

const (
	// joinTimeout bounds a join request.
	joinTimeout = time.Second
	// namedLeaderTTL is how long a node keeps the connection to one that was named as the leader and has not
	// answered yet. It covers several attempts to connect.
	namedLeaderTTL = 5 * time.Second
)

// join asks the leader for membership or, while the leader is unknown, the one of the peers that
// joinTargets selects.
func (c *Controller) join(
	ctx context.Context, targets *joinTargets, attempts *joinAttempts, peers []peer.Peer, fresh bool,
) error {
	target := c.leader()
	if target == "" || target == c.cfg.Listen.Links {
		target = targets.next(peers, c.mesh.Connected)
	}
	if target == "" {
		return nil
	}
	answer, err := c.requestJoin(ctx, target, fresh)
	attempts.record(target, err)
	if err != nil {
		named := leaderHintFrom(err)
		if !errors.Is(err, peer.ErrNotSent) {
			targets.asked(target, err)
		}
		if named != c.cfg.Listen.Links {
			targets.name(named, boottime.Now())
		}
		c.log.Event("join request failed", eventlog.Fields{"asked": target, "hint": named, "error": err.Error()})
		return nil
	}
	c.addresses.add(answer.Members)
	if answer.Retired {
		c.log.Event("member was replaced", eventlog.Fields{"member": c.member})
		return c.discard()
	}
	return nil
}

// joinTargets selects the nodes to ask for membership while the leader is unknown.
type joinTargets struct {
	// named holds the nodes that were named as the leader, and when they last were. A node leaves it only by
	// its own answer or after namedLeaderTTL: a request that does not reach it says nothing about it.
	named map[string]time.Duration
	// preferred is the node that was named last, until it has been asked.
	preferred string
	// turn counts the requests, and askedAt holds the turn of the latest one to each peer. rotatedAt is the
	// turn of the latest one to a peer that was not selected for its name.
	turn, rotatedAt int
	askedAt         map[string]int
}

// name records that another node named link as the leader, and reports whether it was not among the named ones;
// "" is ignored.
func (t *joinTargets) name(link string, now time.Duration) (added bool) {
	if link == "" {
		return false
	}
	if t.named == nil {
		t.named = map[string]time.Duration{}
	}
	_, known := t.named[link]
	t.named[link], t.preferred = now, link
	return !known
}

// asked records that a request to a node was sent and failed with err.
func (t *joinTargets) asked(link string, err error) {
	if t.preferred == link {
		t.preferred = "" // the others get a turn
	}
	if code, ok := peer.CodeOf(err); ok && code == nodelink.CodeNotLeader {
		delete(t.named, link)
	}
}

// links returns the nodes that were named as the leader within namedLeaderTTL.
func (t *joinTargets) links(now time.Duration) []string {
	maps.DeleteFunc(t.named, func(_ string, at time.Duration) bool { return now-at > namedLeaderTTL })
	return slices.Collect(maps.Keys(t.named))
}

// next returns the connected peer to ask: the node that was named last, or else the one that was asked longest
// ago; "" if none is connected. Two nodes that name each other do not keep the others from being asked: a named
// one is asked again only after a peer that is not selected for its name.
func (t *joinTargets) next(peers []peer.Peer, connected func(link string) bool) string {
	selected, named := "", false
	for _, p := range peers {
		switch {
		case !connected(p.Name):
		case p.Name == t.preferred && (t.askedAt[p.Name] == 0 || t.askedAt[p.Name] < t.rotatedAt):
			selected, named = p.Name, true
		case selected == "" || !named && t.askedAt[p.Name] < t.askedAt[selected]:
			selected = p.Name
		}
	}
	if selected == "" {
		return ""
	}
	t.turn++
	if !named {
		t.rotatedAt = t.turn
	}
	if t.askedAt == nil {
		t.askedAt = map[string]int{}
	}
	maps.DeleteFunc(t.askedAt, func(link string, _ int) bool {
		return !slices.ContainsFunc(peers, func(p peer.Peer) bool { return p.Name == link })
	})
	t.askedAt[selected] = t.turn
	return selected
}

func (c *Controller) requestJoin(ctx context.Context, target string, fresh bool) (nodelink.JoinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answer nodelink.JoinAnswer
	err := c.mesh.Call(ctx, target, nodelink.Join, nodelink.JoinRequest{Member: c.selfMember(), Fresh: fresh}, &answer)
	return answer, err
}

// errReplaced ends the process, so that it restarts as a new member.
var errReplaced = errors.New("another member has replaced this one")

// discard removes the log, so that the next start joins as a new member.
func (c *Controller) discard() error {
	if err := storage.Discard(c.files, c.cfg.Data); err != nil {
		return err
	}
	return errReplaced
}

// joinAttempts collects, for the log, what other nodes answered to requests for membership.
type joinAttempts struct {
	watch absenceWatch
	// answers holds the latest answer of each node that was asked since the last report.
	answers map[string]string
}

// record records the outcome of a request.
func (a *joinAttempts) record(asked string, err error) {
	answer := "joined"
	if err != nil {
		answer = err.Error()
	}
	a.answers[asked] = answer
}

// reportJoinAttempts logs, now and then, that this node is no member of the group, whom it asked and what each
// answered, and once that it is one.
func (c *Controller) reportJoinAttempts(a *joinAttempts, targets *joinTargets, status raft.Status, now time.Duration) {
	member := c.isMember(status)
	missing, report := a.watch.observe(member, now)
	if !report {
		if member {
			clear(a.answers)
		}
		return
	}
	message := "not a member"
	if member {
		message = "member again"
	}
	c.log.Event(message, eventlog.Fields{
		"missingMillis": missing.Milliseconds(), "answers": a.answers, "named": targets.links(now), "lastIndex": status.LastIndex,
	})
	a.answers = map[string]string{}
}
