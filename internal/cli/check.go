package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/contract"
	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/agateslip/agateslip/platform"
	"github.com/agateslip/agateslip/routes"
)

// maxReadBackBytes bounds the configuration in force.
const maxReadBackBytes = 16 << 20

type checkCmd struct {
	Files   []string `arg:"positional,required" help:"YAML files: one with a top-level field customer is checked as a contract, one with seeds as the settings of a managed process, any other as the settings of a node; a JSON document is checked as the configuration of a managed deployment"`
	Against string   `arg:"--against" placeholder:"IP:PORT" help:"also show what differs from the configuration in force, read from the operators' address of a control node"`
	Output  string   `arg:"--output" default:"text" help:"text, or json for scripts"`
}

// checkReport is the outcome of the check of one file.
type checkReport struct {
	File string `json:"file"`
	// Errors make the file invalid. Advice lists what has no effect, and Changes what differs from the configuration in
	// force.
	Errors  []yamlcheck.Problem `json:"errors,omitempty"`
	Advice  []yamlcheck.Problem `json:"advice,omitempty"`
	Changes []routes.Change     `json:"changes,omitempty"`
}

func (c *checkCmd) run(ctx context.Context, out, _ io.Writer) error {
	if c.Output != "text" && c.Output != "json" {
		return errors.Mark(errors.Newf("unknown output %q", c.Output), errInput)
	}
	var inForce *routes.Configuration
	if c.Against != "" {
		var err error
		if inForce, err = readBack(ctx, c.Against); err != nil {
			return err
		}
	}
	var reports []checkReport
	var problems yamlcheck.Problems
	for _, file := range c.Files {
		report, err := checkFile(file, inForce)
		if err != nil {
			return errors.Mark(err, errInput)
		}
		reports = append(reports, report)
		problems = append(problems, report.Errors...)
	}
	if c.Output == "json" {
		if err := json.NewEncoder(out).Encode(reports); err != nil {
			return errors.Wrap(err, "print")
		}
	} else {
		printReports(out, reports)
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

func printReports(out io.Writer, reports []checkReport) {
	for _, r := range reports {
		for _, p := range r.Advice {
			fmt.Fprintf(out, "%s (has no effect or contradicts another field)\n", p)
		}
		for _, change := range r.Changes {
			fmt.Fprintf(out, "%s: changes %s\n", r.File, change)
		}
		if len(r.Errors) == 0 {
			fmt.Fprintf(out, "%s: ok\n", r.File)
		}
	}
}

// checkFile validates one file as a configuration, a contract or settings, depending on its content. inForce is the
// configuration to compare with; nil for none.
func checkFile(file string, inForce *routes.Configuration) (checkReport, error) {
	report := checkReport{File: file}
	data, err := os.ReadFile(file)
	if err != nil {
		return report, errors.Wrap(err, "read file")
	}
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")):
		report.checkConfiguration(data, inForce)
		return report, nil
	case hasField(data, "customer"):
		_, err = contract.Decode(file, data)
	case hasField(data, "seeds"):
		_, err = config.DecodeManaged(file, data)
	default:
		_, err = config.Decode(file, data)
	}
	var ps yamlcheck.Problems
	if errors.As(err, &ps) {
		report.Errors, err = ps, nil
	}
	return report, err
}

// checkConfiguration checks a configuration of a managed deployment as the control nodes do.
func (r *checkReport) checkConfiguration(document []byte, inForce *routes.Configuration) {
	conf, err := platform.ReadConfiguration(document)
	if err != nil {
		r.Errors = []yamlcheck.Problem{{File: r.File, Line: lineOfError(document, err), Field: "(document)", Rule: err.Error()}}
		return
	}
	r.Errors = r.locate(document, conf.Problems())
	if len(r.Errors) == 0 {
		r.Advice = r.locate(document, conf.Advice())
	}
	if inForce != nil {
		r.Changes = routes.Compare(inForce, conf)
	}
}

// locate finds the lines of fields by the names in them.
func (r *checkReport) locate(document []byte, found []routes.Problem) []yamlcheck.Problem {
	var out []yamlcheck.Problem
	for _, p := range found {
		line := 0
		if parts := strings.Split(p.Field, "."); len(parts) > 1 {
			if name, err := json.Marshal(parts[1]); err == nil {
				if at := bytes.Index(document, name); at >= 0 {
					line = lineAt(document, at)
				}
			}
		}
		out = append(out, yamlcheck.Problem{File: r.File, Line: line, Field: p.Field, Rule: p.Rule})
	}
	return out
}

// lineOfError returns the line at which a document cannot be decoded; 0 if unknown.
func lineOfError(document []byte, err error) int {
	var syntax *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return lineAt(document, int(syntax.Offset))
	case errors.As(err, &mistyped):
		return lineAt(document, int(mistyped.Offset))
	}
	return 0
}

// lineAt returns the line of a byte, counted from 1.
func lineAt(document []byte, at int) int {
	return 1 + bytes.Count(document[:min(at, len(document))], []byte("\n"))
}

// readBack returns the configuration in force. The error is marked with operator.ErrUnavailable if the control node
// cannot tell it.
func readBack(ctx context.Context, addr string) (*routes.Configuration, error) {
	document, err := fetch(ctx, "http://"+addr+platform.ConfigurationPath, maxReadBackBytes)
	if err != nil {
		return nil, errors.Wrap(err, "configuration in force")
	}
	return platform.ReadConfiguration(document)
}

// hasField reports whether YAML in block style has a field at its top level.
func hasField(data []byte, field string) bool {
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, field+":") {
			return true
		}
	}
	return false
}
