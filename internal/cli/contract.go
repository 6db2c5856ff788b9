package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/control"
	"github.com/agateslip/agateslip/internal/operator"
	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
)

// target says which node to talk to.
type target struct {
	Node  string `arg:"--node,env:AGATESLIP_NODE" default:"127.0.0.1:7300" placeholder:"IP:PORT" help:"operator address of any node"`
	Token string `arg:"--token,env:AGATESLIP_TOKEN" help:"operator token; better given in the environment"`
	Actor string `arg:"--as,env:AGATESLIP_OPERATOR" placeholder:"NAME" help:"operator's name in the audit trail; the login name if unset"`
	JSON  bool   `arg:"--json" help:"print JSON for scripts"`
}

// readTarget says which node to read from.
type readTarget struct {
	target
	Stale bool `arg:"--stale" help:"show what the node knows even if it cannot prove that it is current"`
}

// reader returns a client for reads, which says on errOut how old a stale answer
// may be.
func (t readTarget) reader(errOut io.Writer) *operator.Client {
	c := t.client()
	if !t.Stale {
		return c
	}
	c.Stale = func(age time.Duration, proved bool) {
		if !proved {
			fmt.Fprintln(errOut, "agateslip: may be out of date; this node never proved that it was current")
			return
		}
		fmt.Fprintf(errOut, "agateslip: may be out of date by up to %s\n", age.Round(time.Millisecond))
	}
	return c
}

func (t target) client() *operator.Client {
	return operator.NewClient(t.Node, t.Token, t.actor())
}

func (t target) actor() string {
	if t.Actor != "" {
		return t.Actor
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// print writes v as JSON, or calls table.
func (t target) print(out io.Writer, v any, table func(w io.Writer)) error {
	if t.JSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return errors.Wrap(enc.Encode(v), "print")
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return errors.Wrap(w.Flush(), "print")
}

type contractCmd struct {
	Apply   *applyCmd   `arg:"subcommand:apply" help:"create or replace a contract"`
	Remove  *removeCmd  `arg:"subcommand:remove" help:"end a contract"`
	Get     *getCmd     `arg:"subcommand:get" help:"print a contract in force, as YAML"`
	List    *listCmd    `arg:"subcommand:list" help:"list the contracts in force"`
	History *historyCmd `arg:"subcommand:history" help:"list the changes of a contract"`
}

type changeFlags struct {
	Base     uint64 `arg:"--base" default:"0" placeholder:"VERSION" help:"version that the change was made from; 0 creates the contract"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"identity of the change over resends; drawn if unset"`
}

func (f changeFlags) change() operator.Change {
	ch := operator.Change{ChangeID: f.ChangeID, BaseVersion: f.Base}
	if ch.ChangeID == "" {
		ch.ChangeID = uuid.NewString()
	}
	return ch
}

type applyCmd struct {
	target
	changeFlags
	File string `arg:"positional,required" help:"the contract's YAML file"`
}

func (c *applyCmd) run(ctx context.Context, out, errOut io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read contract"), errInput)
	}
	parsed, err := contract.Decode(c.File, data)
	if err != nil {
		return err
	}
	ch := c.change()
	res, err := c.client().Apply(ctx, parsed.Customer, ch, data)
	return c.printChange(out, errOut, ch, res, err)
}

func (t target) printChange(out, errOut io.Writer, ch operator.Change, res control.ChangeResult, err error) error {
	if err != nil {
		fmt.Fprintf(errOut, "change id: %s\n", ch.ChangeID)
		return err
	}
	return t.print(out, res, func(w io.Writer) {
		fmt.Fprintf(w, "%s\tversion %d\trevision %d\tchange id %s\n", res.Outcome, res.Version, res.Revision, ch.ChangeID)
	})
}

type removeCmd struct {
	target
	changeFlags
	Customer string `arg:"positional,required"`
}

func (c *removeCmd) run(ctx context.Context, out, errOut io.Writer) error {
	ch := c.change()
	res, err := c.client().Remove(ctx, c.Customer, ch)
	return c.printChange(out, errOut, ch, res, err)
}

type getCmd struct {
	readTarget
	Customer string `arg:"positional,required"`
}

func (c *getCmd) run(ctx context.Context, out, errOut io.Writer) error {
	v, err := c.reader(errOut).Contract(ctx, c.Customer)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.print(out, v, nil)
	}
	body, err := yaml.Marshal(v.Contract)
	if err != nil {
		return errors.Wrap(err, "render contract")
	}
	_, err = fmt.Fprintf(out, "# version %d\n%s", v.Version, body)
	return errors.Wrap(err, "print")
}

type listCmd struct{ readTarget }

func (c *listCmd) run(ctx context.Context, out, errOut io.Writer) error {
	list, err := c.reader(errOut).Contracts(ctx)
	if err != nil {
		return err
	}
	return c.print(out, list, func(w io.Writer) {
		fmt.Fprintln(w, "CUSTOMER\tVERSION\tWAIT\tREPLICAS\tCONCURRENCY\tRATE\tMODELS\tSERVICES")
		for _, v := range list {
			k := v.Contract
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%g/s\t%d\t%d\n", k.Customer, v.Version, k.Wait,
				k.Capacity.Replicas, k.Capacity.Concurrency, k.Capacity.Rate, len(k.Models), len(k.Services))
		}
	})
}

type historyCmd struct {
	readTarget
	Customer string `arg:"positional,required"`
}

func (c *historyCmd) run(ctx context.Context, out, errOut io.Writer) error {
	all, err := readAudit(ctx, c.reader(errOut), 0)
	if err != nil {
		return err
	}
	var own []control.AuditEntry
	for _, e := range all {
		if e.Subject == c.Customer && strings.HasPrefix(e.Action, "contract.") {
			own = append(own, e)
		}
	}
	return c.print(out, own, func(w io.Writer) { auditTable(w, own) })
}

type auditCmd struct {
	readTarget
	Since  uint64 `arg:"--since" default:"0" placeholder:"SEQ" help:"print entries after this sequence number"`
	Verify bool   `arg:"--verify" help:"check the chain of digests and fail on the first break"`
}

func (c *auditCmd) run(ctx context.Context, out, errOut io.Writer) error {
	entries, err := readAudit(ctx, c.reader(errOut), c.Since)
	if err != nil {
		return err
	}
	if bad := control.VerifyAudit(entries); c.Verify && bad != 0 {
		return errors.Newf("audit entry %d does not follow from the one before it", bad)
	}
	return c.print(out, entries, func(w io.Writer) { auditTable(w, entries) })
}

// auditPage is how many entries are asked for at once.
const auditPage = 1000

func readAudit(ctx context.Context, c *operator.Client, since uint64) ([]control.AuditEntry, error) {
	var all []control.AuditEntry
	for {
		page, err := c.Audit(ctx, since, auditPage)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < auditPage {
			return all, nil
		}
		since = page[len(page)-1].Seq
	}
}

func auditTable(w io.Writer, entries []control.AuditEntry) {
	fmt.Fprintln(w, "SEQ\tTIME\tACTOR\tNODE\tACTION\tSUBJECT\tFROM\tTO\tOUTCOME\tDETAIL")
	for _, e := range entries {
		when := time.UnixMilli(e.Origin.UnixMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Seq, when, e.Origin.Actor, e.Origin.Node,
			e.Action, e.Subject, e.From, e.To, e.Outcome, strings.Join(strings.Fields(e.Detail), " "))
	}
}
