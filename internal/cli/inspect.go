package cli

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/agateslip/agateslip/internal/operator"
	"github.com/cockroachdb/errors"
)

type configCmd struct {
	Check *checkCmd `arg:"subcommand:check" help:"check settings or contract files; nothing is changed"`
}

type statusCmd struct{ readFlags }

func (c *statusCmd) run(ctx context.Context, out, errOut io.Writer) error {
	s, err := c.readClient(errOut).Status(ctx)
	if err != nil {
		return err
	}
	return c.printResult(out, s, func(w io.Writer) { printStatusTable(w, s) })
}

func printStatusTable(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "node\t%s (%s)\n", s.Node, s.Domain)
	fmt.Fprintf(w, "ready\t%t\n", s.Ready)
	fmt.Fprintf(w, "stopping\t%t\n", s.Stopping)
	fmt.Fprintf(w, "leader\t%s\n", s.Leader)
	fmt.Fprintf(w, "revision\t%d, proved %s ago\n", s.Revision, s.ProofAge)
	fmt.Fprintf(w, "running\t%d\n", s.Running)
	fmt.Fprintf(w, "grants\t%d\n", len(s.Grants))
	fmt.Fprintln(w, "\nUPSTREAM\tDOMAIN\tKIND\tSTATE\tREPLICAS\tRUNNING\tINCARNATION")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", u.ID, u.Domain, u.Kind, u.State, u.Replicas, u.Running, u.Incarnation)
	}
}

type upstreamCmd struct {
	Gone *upstreamGoneCmd `arg:"subcommand:gone" help:"report that an upstream's process or VM has ended for good, which ends its grants"`
}

type upstreamGoneCmd struct {
	nodeFlags
	ID          string `arg:"positional,required" help:"the upstream's name"`
	Incarnation uint64 `arg:"positional,required" help:"incarnation of the process that ended, as agateslip status shows it"`
}

func (c *upstreamGoneCmd) run(ctx context.Context, _, _ io.Writer) error {
	return c.client().UpstreamGone(ctx, operator.Gone{Upstream: c.ID, Incarnation: c.Incarnation})
}

type drainCmd struct{ nodeFlags }

func (c *drainCmd) run(ctx context.Context, out, _ io.Writer) error {
	s, err := c.client().Drain(ctx)
	if err != nil {
		return err
	}
	return c.printResult(out, s, func(w io.Writer) {
		fmt.Fprintf(w, "%s stops once its %d running requests are finished\n", s.Node, s.Running)
	})
}

type hashKeyCmd struct{}

func (c *hashKeyCmd) run(_ context.Context, out, _ io.Writer) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return errors.Mark(errors.Newf("no key on standard input: %v", err), errInput)
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(out, hex.EncodeToString(sum[:]))
	return errors.Wrap(err, "print")
}

type memberCmd struct {
	List    *memberListCmd    `arg:"subcommand:list" help:"list the members of the control group"`
	Add     *memberAddCmd     `arg:"subcommand:add" help:"add a member as a learner, and give it a vote once it has caught up"`
	Remove  *memberRemoveCmd  `arg:"subcommand:remove" help:"remove a member"`
	Replace *memberReplaceCmd `arg:"subcommand:replace" help:"replace a lost member with a new one"`
}

type memberListCmd struct{ nodeFlags }

func (c *memberListCmd) run(ctx context.Context, out, _ io.Writer) error {
	m, err := c.client().Members(ctx)
	if err != nil {
		return err
	}
	return c.printResult(out, m, func(w io.Writer) {
		fmt.Fprintln(w, "MEMBER\tNODE\tVOTER\tLEADER\tDURABLE")
		for _, s := range m.Members {
			fmt.Fprintf(w, "%d\t%s\t%t\t%t\t%d\n", s.ID, s.Node, s.Voter, s.Leader, s.DurableIndex)
		}
	})
}

type memberAddCmd struct {
	nodeFlags
	ID uint64 `arg:"positional,required" help:"the new member's id, as printed by agateslip init"`
}

func (c *memberAddCmd) run(ctx context.Context, _, _ io.Writer) error {
	return c.client().ChangeMembers(ctx, operator.MemberChange{Action: "add", ID: c.ID})
}

type memberRemoveCmd struct {
	nodeFlags
	ID uint64 `arg:"positional,required" help:"the member's id"`
}

func (c *memberRemoveCmd) run(ctx context.Context, _, _ io.Writer) error {
	return c.client().ChangeMembers(ctx, operator.MemberChange{Action: "remove", ID: c.ID})
}

type memberReplaceCmd struct {
	nodeFlags
	Old uint64 `arg:"positional,required" help:"the lost member's id"`
	New uint64 `arg:"positional,required" help:"the new member's id, as printed by agateslip init --rejoin"`
}

func (c *memberReplaceCmd) run(ctx context.Context, _, _ io.Writer) error {
	return c.client().ChangeMembers(ctx, operator.MemberChange{Action: "replace", ID: c.Old, NewID: c.New})
}
