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

// nodeFlags are the flags of commands that send a request to a node.
type nodeFlags struct {
	Node  string `arg:"--node,env:AGATESLIP_NODE" default:"127.0.0.1:7300" placeholder:"IP:PORT" help:"operator address of any node"`
	Token string `arg:"--token,env:AGATESLIP_TOKEN" help:"operator token; preferably set in the environment"`
	Actor string `arg:"--as,env:AGATESLIP_OPERATOR" placeholder:"NAME" help:"operator's name in the audit trail; the user's login name if unset"`
	JSON  bool   `arg:"--json" help:"print JSON for scripts"`
}

// readFlags are the flags of commands that read from a node.
type readFlags struct {
	nodeFlags
	Stale bool `arg:"--stale" help:"show the node's state even if the node cannot prove that it is current"`
}

// readClient returns a client for reads. If Stale is set, the client prints on errOut
// how old an answer may be.
func (f readFlags) readClient(errOut io.Writer) *operator.Client {
	c := f.client()
	if !f.Stale {
		return c
	}
	c.OnStale = func(age time.Duration, proved bool) {
		if !proved {
			fmt.Fprintln(errOut, "agateslip: the answer may be out of date: this node never proved its state to be current")
			return
		}
		fmt.Fprintf(errOut, "agateslip: the answer may be out of date by up to %s\n", age.Round(time.Millisecond))
	}
	return c
}

func (f nodeFlags) client() *operator.Client {
	return operator.NewClient(f.Node, f.Token, f.actor())
}

// actor returns the operator's name for the audit trail.
func (f nodeFlags) actor() string {
	if f.Actor != "" {
		return f.Actor
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// printResult prints v as JSON if the flag is set; otherwise table prints it with
// tab-separated columns.
func (f nodeFlags) printResult(out io.Writer, v any, table func(w io.Writer)) error {
	if f.JSON {
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

// changeFlags are the flags of commands that change a contract.
type changeFlags struct {
	Base     uint64 `arg:"--base" default:"0" placeholder:"VERSION" help:"contract version that the change is based on; 0 creates the contract"`
	ChangeID string `arg:"--change-id" placeholder:"ID" help:"id that stays the same when the change is resent; random if unset"`
}

func (f changeFlags) change() operator.Change {
	ch := operator.Change{ChangeID: f.ChangeID, BaseVersion: f.Base}
	if ch.ChangeID == "" {
		ch.ChangeID = uuid.NewString()
	}
	return ch
}

type applyCmd struct {
	nodeFlags
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
	return c.printChangeResult(out, errOut, ch, res, err)
}

// printChangeResult prints the outcome of a change. If there is an error, it prints the
// change id instead, which a resend of the change needs.
func (f nodeFlags) printChangeResult(out, errOut io.Writer, ch operator.Change, res control.ChangeResult, err error) error {
	if err != nil {
		fmt.Fprintf(errOut, "change id: %s\n", ch.ChangeID)
		return err
	}
	return f.printResult(out, res, func(w io.Writer) {
		fmt.Fprintf(w, "%s\tversion %d\trevision %d\tchange id %s\n", res.Outcome, res.Version, res.Revision, ch.ChangeID)
	})
}

type removeCmd struct {
	nodeFlags
	changeFlags
	Customer string `arg:"positional,required"`
}

func (c *removeCmd) run(ctx context.Context, out, errOut io.Writer) error {
	ch := c.change()
	res, err := c.client().Remove(ctx, c.Customer, ch)
	return c.printChangeResult(out, errOut, ch, res, err)
}

type getCmd struct {
	readFlags
	Customer string `arg:"positional,required"`
}

func (c *getCmd) run(ctx context.Context, out, errOut io.Writer) error {
	v, err := c.readClient(errOut).Contract(ctx, c.Customer)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printResult(out, v, nil)
	}
	body, err := yaml.Marshal(v.Contract)
	if err != nil {
		return errors.Wrap(err, "render contract")
	}
	_, err = fmt.Fprintf(out, "# version %d\n%s", v.Version, body)
	return errors.Wrap(err, "print")
}

type listCmd struct{ readFlags }

func (c *listCmd) run(ctx context.Context, out, errOut io.Writer) error {
	list, err := c.readClient(errOut).Contracts(ctx)
	if err != nil {
		return err
	}
	return c.printResult(out, list, func(w io.Writer) {
		fmt.Fprintln(w, "CUSTOMER\tVERSION\tWAIT\tREPLICAS\tCONCURRENCY\tRATE\tMODELS\tSERVICES")
		for _, v := range list {
			ct := v.Contract
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%g/s\t%d\t%d\n", ct.Customer, v.Version, ct.Wait,
				ct.Capacity.Replicas, ct.Capacity.Concurrency, ct.Capacity.Rate, len(ct.Models), len(ct.Services))
		}
	})
}

type historyCmd struct {
	readFlags
	Customer string `arg:"positional,required"`
}

func (c *historyCmd) run(ctx context.Context, out, errOut io.Writer) error {
	entries, err := readAudit(ctx, c.readClient(errOut), 0)
	if err != nil {
		return err
	}
	var changes []control.AuditEntry
	for _, e := range entries {
		if e.Subject == c.Customer && strings.HasPrefix(e.Action, "contract.") {
			changes = append(changes, e)
		}
	}
	return c.printResult(out, changes, func(w io.Writer) { printAuditTable(w, changes) })
}

type auditCmd struct {
	readFlags
	Since  uint64 `arg:"--since" default:"0" placeholder:"SEQ" help:"print entries after this sequence number"`
	Verify bool   `arg:"--verify" help:"check the chain of digests and fail on the first break"`
}

func (c *auditCmd) run(ctx context.Context, out, errOut io.Writer) error {
	entries, err := readAudit(ctx, c.readClient(errOut), c.Since)
	if err != nil {
		return err
	}
	if brokenSeq := control.VerifyAudit(entries); c.Verify && brokenSeq != 0 {
		return errors.Newf("audit entry %d breaks the chain of digests: it does not follow from the entry before it", brokenSeq)
	}
	return c.printResult(out, entries, func(w io.Writer) { printAuditTable(w, entries) })
}

// auditPageSize is the number of audit entries requested at once.
const auditPageSize = 1000

// readAudit returns all audit entries whose sequence number is above since.
func readAudit(ctx context.Context, c *operator.Client, since uint64) ([]control.AuditEntry, error) {
	var entries []control.AuditEntry
	for {
		page, err := c.Audit(ctx, since, auditPageSize)
		if err != nil {
			return nil, err
		}
		entries = append(entries, page...)
		if len(page) < auditPageSize {
			return entries, nil
		}
		since = page[len(page)-1].Seq
	}
}

func printAuditTable(w io.Writer, entries []control.AuditEntry) {
	fmt.Fprintln(w, "SEQ\tTIME\tACTOR\tNODE\tACTION\tSUBJECT\tFROM\tTO\tOUTCOME\tDETAIL")
	for _, e := range entries {
		when := time.UnixMilli(e.Origin.UnixMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", e.Seq, when, e.Origin.Actor, e.Origin.Node,
			e.Action, e.Subject, e.From, e.To, e.Outcome, strings.Join(strings.Fields(e.Detail), " "))
	}
}
