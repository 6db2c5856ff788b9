package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/explain"
)

// explainCmd shows from log lines how a call went and why it ended as it did.
type explainCmd struct {
	ID    string   `arg:"positional,required" help:"id of the call, as in the log lines"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of entry and control nodes, in any order; standard input if there is none"`
	JSON  bool     `arg:"--json" help:"print JSON for scripts"`
}

func (c *explainCmd) run(_ context.Context, out, errOut io.Writer) error {
	log := explain.New(c.ID)
	if err := c.read(log); err != nil {
		return err
	}
	if log.Unreadable > 0 {
		fmt.Fprintf(errOut, "agateslip: %d lines are no log lines\n", log.Unreadable)
	}
	report, ok := log.Explain()
	if !ok {
		return errors.Newf("no line carries the id %q", c.ID)
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(out).Encode(report), "print")
	}
	return printReport(out, &report)
}

func (c *explainCmd) read(log *explain.Log) error {
	if len(c.Files) == 0 {
		return log.Read(os.Stdin)
	}
	for _, name := range c.Files {
		if err := readFile(log, name); err != nil {
			return errors.Mark(err, errInput)
		}
	}
	return nil
}

func readFile(log *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer f.Close()
	return errors.Wrap(log.Read(f), name)
}

func printReport(out io.Writer, report *explain.Report) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "AFTER ARRIVAL\tNODE\tLINE\tFIELDS")
	for _, line := range report.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", line.At.Sub(report.Arrived).Round(time.Millisecond), line.Node, line.Kind, fieldList(line.Fields))
	}
	fmt.Fprintf(w, "\n%s\n", report.Cause)
	return errors.Wrap(w.Flush(), "print")
}

// fieldList returns the fields of a line as NAME=VALUE, by name, without empty ones and the
// id.
func fieldList(fields map[string]any) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if value := fields[name]; name != "id" && value != "" {
			list = append(list, fmt.Sprintf("%s=%v", name, value))
		}
	}
	return strings.Join(list, " ")
}
