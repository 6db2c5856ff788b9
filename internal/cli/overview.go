package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/edge"
	"github.com/agateslip/agateslip/internal/operator"
)

const (
	// overviewPath is the path on a managed node's metrics address that serves the
	// node's overview as JSON.
	overviewPath = "/overview"
	// maxOverviewBytes bounds an overview.
	maxOverviewBytes = 64 << 20
	// fetchTimeout limits a request for an overview or a configuration.
	fetchTimeout = 5 * time.Second
)

// overviewPage serves a node's overview as JSON, and status 503 until the node exists.
type overviewPage struct {
	// source returns the overview; nil until setSource is called.
	source atomic.Pointer[func(ctx context.Context) (any, error)]
}

// setSource sets the function that returns the node's overview.
func (p *overviewPage) setSource(source func(ctx context.Context) (any, error)) {
	p.source.Store(&source)
}

// ServeHTTP implements http.Handler.
func (p *overviewPage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	source := p.source.Load()
	if source == nil {
		http.Error(w, "the node is starting", http.StatusServiceUnavailable)
		return
	}
	overview, err := (*source)(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected, so there is nobody to tell.
	_ = json.NewEncoder(w).Encode(overview)
}

// inspectCmd shows the overview of one node of a managed deployment.
type inspectCmd struct {
	Node string `arg:"positional,required" placeholder:"IP:PORT" help:"metrics address of the node"`
	JSON bool   `arg:"--json" help:"print JSON for scripts"`
}

func (c *inspectCmd) run(ctx context.Context, out, _ io.Writer) error {
	body, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := out.Write(body)
		return errors.Wrap(err, "print")
	}
	// Only the overview of a control node has the field leader.
	var probe struct {
		Leader *string `json:"leader"`
	}
	if err := json.Unmarshal(body, &probe); err != nil {
		return errors.Wrapf(err, "decode overview of %s", c.Node)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if probe.Leader != nil {
		err = decodeAndPrint(w, body, printControlTable)
	} else {
		err = decodeAndPrint(w, body, printEntryTable)
	}
	return errors.CombineErrors(err, errors.Wrap(w.Flush(), "print"))
}

// fetch returns the node's overview as JSON. The error is marked with
// operator.ErrUnavailable if the node does not answer with status 200.
func (c *inspectCmd) fetch(ctx context.Context) ([]byte, error) {
	return fetch(ctx, "http://"+c.Node+overviewPath, maxOverviewBytes)
}

// fetch returns the body at a URL, which it reads up to limit bytes. The error is marked with
// operator.ErrUnavailable if the node does not answer with status 200.
func fetch(ctx context.Context, url string, limit int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "node address"), errInput)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Mark(err, operator.ErrUnavailable)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Newf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return body, errors.Mark(err, operator.ErrUnavailable)
}

// decodeAndPrint decodes an overview of type T and prints it with printTable.
func decodeAndPrint[T any](w io.Writer, body []byte, printTable func(io.Writer, *T)) error {
	var overview T
	if err := json.Unmarshal(body, &overview); err != nil {
		return errors.Wrap(err, "decode overview")
	}
	printTable(w, &overview)
	return nil
}

func printControlTable(w io.Writer, o *controller.Overview) {
	fmt.Fprintf(w, "node\t%s\nleads\t%t\nleader\t%s\nterm\t%d\nsends orders\t%t\nconfiguration\t%d\nentry nodes\t%d\n",
		o.Node, o.Leads, o.Leader, o.Term, o.Orders, o.Version, o.EntryNodes)
	fmt.Fprintln(w, "\nMEMBER\tLINK\tVOTER\tDURABLE")
	for _, m := range o.Members {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\n", m.Node, m.Link, m.Voter, m.Durable)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tADDRESS\tHEARD\tLEAVING\tCALLS\tDOING\tNEXT\tMODELS")
	for _, u := range o.Upstreams {
		calls, doing, next := "", "", ""
		if e := u.Engine; e != nil {
			calls, doing, next = fmt.Sprint(e.Calls), e.Doing, e.Planned
			if e.Unclear {
				doing = strings.TrimSpace(doing + " (unclear)")
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\t%t\t%s\t%s\t%s\t%s\n",
			u.ID, u.Service, u.Addr, time.Duration(u.Age).Round(time.Millisecond), u.Leaving, calls, doing, next, strings.Join(u.Models, " "))
	}
	if len(o.Demand) > 0 {
		fmt.Fprintln(w, "\nWAITED FOR\tSERVICE\tCALLS\tA SECOND\tCAN RUN IN")
	}
	for _, d := range o.Demand {
		expectedWait := "unknown"
		if d.Known {
			expectedWait = time.Duration(d.In).Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%s\n", d.Model, d.Service, d.Waiting, d.PerSecond, expectedWait)
	}
	if len(o.Quotas) > 0 {
		fmt.Fprintln(w, "\nQUOTA OF\tA SECOND\tLEFT\tHELD\tOF\tWAITING\tUSED\tBEYOND\tREFUSED\tBELOW")
	}
	for _, q := range o.Quotas {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", q.Tenant, q.PerSecond, q.Level, q.Held, q.Capacity,
			q.Waiting, q.Used, q.Beyond, q.Refused, q.Below)
	}
}

func printEntryTable(w io.Writer, o *edge.Overview) {
	fmt.Fprintf(w, "node\t%s\nfollows\t%s\nconfiguration\t%d\nstopping\t%t\ncalls\t%d, %d waiting\n",
		o.Node, o.ControlNode, o.Version, o.Stopping, o.Active, o.Waiting)
	if o.ProofAge != nil {
		fmt.Fprintf(w, "proved current\t%s ago\n", time.Duration(*o.ProofAge).Round(time.Millisecond))
	}
	if o.LacksProof {
		fmt.Fprintln(w, "calls with keys\trefused: configuration not proved current")
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tADDRESS\tLEAVING\tDOUBTED\tCALLS\tOF OTHERS\tFAILING\tCLOSED FOR\tLIMIT\tMODELS")
	for _, u := range o.Upstreams {
		limit := "none"
		if u.RateLimit != nil {
			limit = fmt.Sprint(*u.RateLimit)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%.2f\t%s\t%s\t%s\n", u.ID, u.Service, u.Addr, u.Leaving, u.Unlisted,
			u.Calls, u.Others, u.Failing, time.Duration(u.ClosedFor).Round(time.Millisecond), limit, strings.Join(u.Models, " "))
	}
	if len(o.Demand) > 0 {
		fmt.Fprintln(w, "\nWAITED FOR\tSERVICE\tADAPTER\tCALLS")
	}
	for _, d := range o.Demand {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", d.Model, d.Service, d.Adapter, d.Waiting)
	}
}
