// Package explain reconstructs from the log lines of a managed deployment how one call went
// and why it ended as it did.
//
// It is pure apart from reading: it takes lines in any order and from any number of
// processes, and orders them by their time. The clocks of the processes should agree within
// some milliseconds.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds one log line.
	maxLineBytes = 4 << 20
	// contextBefore is how long before a call's arrival lines still count as its context:
	// longer than a load of a model from an engine's disk and than an election.
	contextBefore = 5 * time.Second
	// sameFailureWithin is the time within which calls that lose the same upstream count as
	// one failure.
	sameFailureWithin = time.Second
)

// Line is a log line.
type Line struct {
	At   time.Time `json:"time"`
	Node string    `json:"node"`
	// Kind is the text of the line.
	Kind string `json:"kind"`
	// Fields holds the other fields of the line.
	Fields map[string]any `json:"fields"`
}

// arrived returns the time at which the call that the line is about arrived.
func (l *Line) arrived() time.Time {
	return l.At.Add(-time.Duration(l.number("age")) * time.Millisecond)
}

// text returns a field that is a string, or "".
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// number returns a field that is a number, or zero.
func (l *Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Log collects the lines that may matter for one call.
type Log struct {
	id    string
	lines []Line
	// Unreadable is the number of lines that are no log lines.
	Unreadable int
}

// New returns an empty log for the call with the given id.
func New(id string) *Log { return &Log{id: id} }

// Read adds the lines of r. Text before the first brace of a line is ignored, so that the
// output of tools which prefix each line can be read.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func (l *Log) add(raw []byte) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		l.Unreadable++
		return
	}
	fields := map[string]any{}
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		l.Unreadable++
		return
	}
	line := Line{Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, line.text("time"))
	if err != nil || line.text("msg") == "" {
		l.Unreadable++
		return
	}
	line.At, line.Node, line.Kind = at, line.text("node"), line.text("msg")
	if line.text("id") != l.id && !contextKinds[line.Kind] {
		return
	}
	for _, shown := range []string{"time", "msg", "node", "role", "level"} {
		delete(fields, shown)
	}
	l.lines = append(l.lines, line)
}

// contextKinds holds the kinds of line that may explain a call without carrying its id.
var contextKinds = map[string]bool{
	"order sent": true, "engine asked": true, "busiest models": true,
	"leading": true, "no longer leading": true, "sending orders": true, "order lease passed": true,
	"upstream changed": true, "upstream left": true, "upstream fell silent": true, "upstream is leaving": true,
	"upstream not confirmed": true, "upstream wants no calls": true,
	"control node does not answer": true, "leader not found": true, "leader found": true, "configuration in force": true,
	"configuration not proved current": true, "configuration proved current": true,
	"lost": true, "not sent": true,
}

// Report is the explanation of a call.
type Report struct {
	ID      string    `json:"id"`
	Arrived time.Time `json:"arrived"`
	// Lines holds the lines about the call and those that explain them, by time.
	Lines []Line `json:"lines"`
	// Cause says in one or two sentences why the call ended as it did.
	Cause string `json:"cause"`
}

// Explain returns the report on the call. It reports false if no line carries the call's id.
func (l *Log) Explain() (Report, bool) {
	slices.SortStableFunc(l.lines, byTime)
	c := newCall(l.id, l.lines)
	if len(c.lines) == 0 {
		return Report{}, false
	}
	report := Report{ID: l.id, Arrived: c.arrived, Lines: slices.Clone(c.lines)}
	for _, line := range l.lines {
		if line.text("id") == "" && c.concerns(&line) {
			c.context = append(c.context, c.shortened(line))
		}
	}
	report.Lines = append(report.Lines, c.context...)
	slices.SortStableFunc(report.Lines, byTime)
	report.Cause = c.cause()
	return report, true
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// call is what the log tells about one call.
type call struct {
	// lines holds the lines with the call's id, context those that explain them, and
	// failures the lost connections of other calls, all by time.
	lines, context, failures []Line
	arrived, ended           time.Time
	model, adapter           string
	// nodes and upstreams hold the entry nodes and the upstreams that took part.
	nodes, upstreams map[string]bool
}

func newCall(id string, lines []Line) *call {
	c := &call{nodes: map[string]bool{}, upstreams: map[string]bool{}}
	for _, line := range lines {
		if line.text("id") != id {
			if line.Kind == "lost" || line.Kind == "not sent" {
				c.failures = append(c.failures, line)
			}
			continue
		}
		c.lines = append(c.lines, line)
		c.nodes[line.Node] = true
		c.model, c.adapter = cmp.Or(c.model, line.text("model")), cmp.Or(c.adapter, line.text("adapter"))
		if u := line.text("upstream"); u != "" {
			c.upstreams[u] = true
		}
	}
	if len(c.lines) > 0 {
		c.arrived, c.ended = c.lines[0].arrived(), c.lines[len(c.lines)-1].At
	}
	return c
}

// concerns reports whether a line that carries no id belongs to the context of the call.
func (c *call) concerns(line *Line) bool {
	if line.At.Before(c.arrived.Add(-contextBefore)) || line.At.After(c.ended) {
		return false
	}
	switch line.Kind {
	case "order sent":
		return c.model != "" && line.text("model") == c.model || c.upstreams[line.text("upstream")]
	case "leading", "no longer leading", "sending orders", "order lease passed":
		return true
	case "busiest models":
		return c.busiest(line) != nil
	case "control node does not answer", "leader not found", "leader found", "configuration in force",
		"configuration not proved current", "configuration proved current":
		return c.nodes[line.Node]
	case "upstream changed", "upstream not confirmed", "upstream wants no calls":
		return c.upstreams[line.text("upstream")] && c.nodes[line.Node]
	default:
		return c.upstreams[line.text("upstream")]
	}
}

// shortened returns a line of the busiest models with the call's model only, and other lines
// as they are.
func (c *call) shortened(line Line) Line {
	if line.Kind == "busiest models" {
		line.Fields = map[string]any{"models": []any{c.busiest(&line)}}
	}
	return line
}

// busiest returns what a line of the busiest models says of the call's model, or nil.
func (c *call) busiest(line *Line) map[string]any {
	models, _ := line.Fields["models"].([]any)
	for _, m := range models {
		if entry, ok := m.(map[string]any); ok && c.model != "" && entry["model"] == c.model {
			return entry
		}
	}
	return nil
}
