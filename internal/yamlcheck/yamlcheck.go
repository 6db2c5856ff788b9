// Package yamlcheck decodes YAML strictly into a struct and checks the struct's
// validation tags. Each problem gives the file, line, field and violated rule.
package yamlcheck

import (
	"bytes"
	"encoding"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	// maxDepth bounds the nesting of lists and mappings on one line: the work of the parser grows with its square.
	maxDepth = 64
	// maxProblems bounds the problems of one document.
	maxProblems = 100
)

// Problem is one violated rule in a document.
type Problem struct {
	// File is the name of the document.
	File string `json:"file"`
	// Line is the line of the field, counted from 1; 0 if unknown.
	Line int `json:"line"`
	// Field is the path of the field, such as capacity.rate.
	Field string `json:"field"`
	// Rule states what the field must satisfy, such as "is required".
	Rule string `json:"rule"`
}

// String formats the problem as "file:line: field: rule".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Rule)
}

// Problems is a non-empty list of problems. It is the error type of Decode and Check.
type Problems []Problem

// Error lists the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Fault is a rule violation without its place in the file. Field is the path of the field
// with dots and indices, as in models[2].name, and Rule is the rule that it violates.
type Fault struct {
	Field string
	Rule  string
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	slugPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	validate    = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" {
			return f.Name
		}
		return name
	})
	matchesPattern := func(p *regexp.Regexp) validator.Func {
		return func(f validator.FieldLevel) bool { return p.MatchString(f.Field().String()) }
	}
	mustRegister(v, "name", matchesPattern(namePattern))
	mustRegister(v, "slug", matchesPattern(slugPattern))
	mustRegister(v, "hostport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "validation tag %q", tag))
	}
}

// Decode decodes one YAML document into out and checks out's validation tags. If they
// hold, it calls cross, unless that is nil, for the violations of rules that span several
// fields. The error is a Problems.
func Decode[T any](file string, data []byte, out *T, cross func(*T) []Fault) error {
	if line, found := tooDeep(data); found {
		return Problems{{File: file, Line: line, Field: "(document)", Rule: fmt.Sprintf("must be nested at most %d levels deep", maxDepth)}}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := dec.Decode(out); err != nil {
		return Problems{syntaxProblem(file, err)}
	}
	var extra any
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return Problems{{File: file, Line: 1, Field: "(document)", Rule: "must be the only document of the file"}}
	}
	return Check(file, data, out, cross)
}

// Check runs the checks of Decode on a struct that is already filled. data is the YAML
// text in which the lines of the fields are looked up; it may be nil. The error is a
// Problems.
func Check[T any](file string, data []byte, v *T, cross func(*T) []Fault) error {
	faults := tagFaults(validate.Struct(v))
	if len(faults) == 0 && cross != nil {
		faults = cross(v)
	}
	if len(faults) == 0 {
		return nil
	}
	faults = faults[:min(len(faults), maxProblems)]
	problems := make(Problems, len(faults))
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		parsed = nil // data need not be the text that v was read from
	}
	for i, f := range faults {
		problems[i] = Problem{File: file, Line: lineOf(parsed, f.Field), Field: f.Field, Rule: f.Rule}
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return problems
}

// tagFaults converts the error of the validator to faults.
func tagFaults(err error) []Fault {
	var validationErrs validator.ValidationErrors
	if !errors.As(err, &validationErrs) {
		return nil
	}
	faults := make([]Fault, len(validationErrs))
	for i, fe := range validationErrs {
		_, field, _ := strings.Cut(fe.Namespace(), ".")
		faults[i] = Fault{Field: field, Rule: ruleText(fe)}
	}
	return faults
}

// ruleText describes the rule of a validation tag to an operator.
func ruleText(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be 1 to 128 letters, digits or . _ : / -, starting with a letter or digit"
	case "slug":
		return "must be 1 to 63 lower-case letters, digits or -, starting with a letter or digit"
	case "gt":
		return "must be greater than " + fe.Param()
	case "gte", "min":
		return "must be at least " + fe.Param()
	case "lt":
		return "must be less than " + fe.Param()
	case "lte", "max":
		return "must be at most " + fe.Param()
	case "len":
		return "must have " + fe.Param() + " characters"
	case "hexadecimal", "lowercase":
		return "must be lower-case hexadecimal"
	case "oneof":
		return "must be one of " + fe.Param()
	case "startswith":
		return "must start with " + fe.Param()
	case "hostport":
		return "must be an IP address, not a host name, and a port, such as 10.0.0.1:7000"
	default:
		return strings.TrimSpace("breaks rule " + fe.Tag() + " " + fe.Param())
	}
}

// scalarError is the error of a scalar that its type could not parse.
type scalarError struct{ problem Problem }

func (e *scalarError) Error() string { return e.problem.Rule }

// UnmarshalScalar decodes a scalar node with UnmarshalText of out. The error carries the
// field and line, which Decode reports.
func UnmarshalScalar(node ast.Node, out encoding.TextUnmarshaler) error {
	tok := node.GetToken()
	err := out.UnmarshalText([]byte(tok.Value))
	if err == nil {
		return nil
	}
	field := strings.TrimPrefix(node.GetPath(), "$.")
	return &scalarError{Problem{Line: tok.Position.Line, Field: field, Rule: err.Error()}}
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]+)"`)

// syntaxProblem converts an error of the YAML decoder to a problem.
func syntaxProblem(file string, err error) Problem {
	var scalar *scalarError
	if errors.As(err, &scalar) {
		scalar.problem.File = file
		return scalar.problem
	}
	p := Problem{File: file, Field: "(document)"}
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		p.Rule = firstLine(err.Error())
		return p
	}
	p.Rule = yamlErr.GetMessage()
	if tok := yamlErr.GetToken(); tok != nil {
		p.Line = tok.Position.Line
		p.Field = tok.Value
		// If the token is the value of a field, the field's name stands before the colon.
		if tok.Prev != nil && tok.Prev.Prev != nil && tok.Prev.Value == ":" {
			p.Field = tok.Prev.Prev.Value
		}
	}
	if m := unknownFieldPattern.FindStringSubmatch(p.Rule); m != nil {
		p.Field = m[1]
		p.Rule = "is not a known field here"
	}
	return p
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}

// lineOf returns the line of a field, or of its nearest parent that is present, or 1 if
// there is none.
func lineOf(parsed *ast.File, field string) int {
	if parsed == nil {
		return 1
	}
	for path := "$." + field; path != "$" && path != ""; path = parentPath(path) {
		p, err := yaml.PathString(path)
		if err != nil {
			continue
		}
		node, err := p.FilterFile(parsed)
		if err == nil && node != nil {
			return node.GetToken().Position.Line
		}
	}
	return 1
}

// parentPath cuts the last key or index off a YAML path.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
