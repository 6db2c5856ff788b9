// Package cli implements the command line of agateslip.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/agateslip/agateslip/internal/operator"
	"github.com/agateslip/agateslip/internal/yamlcheck"
	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// Exit statuses of the agateslip command.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that the command failed for a reason other than its input.
	ExitFailure = 1
	// ExitInput means that the input is invalid; nothing was changed.
	ExitInput = 2
	// ExitConflict means that the change conflicts with another one or that a rule
	// forbids it; nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that no node could decide or answer. A change may or may
	// not have been accepted; resending it with the same change id shows the outcome.
	ExitUnavailable = 4
)

// args holds the subcommands.
type args struct {
	Serve    *serveCmd    `arg:"subcommand:serve" help:"run one node of a fixed group of peers"`
	Entry    *entryCmd    `arg:"subcommand:entry" help:"run an entry node of a managed deployment"`
	Inspect  *inspectCmd  `arg:"subcommand:inspect" help:"show the state of one node of a managed deployment, as the node sees it"`
	Control  *controlCmd  `arg:"subcommand:control" help:"run a control node of a managed deployment"`
	Explain  *explainCmd  `arg:"subcommand:explain" help:"show from the logs of a managed deployment how a call went and why"`
	Init     *initCmd     `arg:"subcommand:init" help:"prepare the data folder of a node that has a vote"`
	Config   *configCmd   `arg:"subcommand:config" help:"check settings and contracts"`
	Contract *contractCmd `arg:"subcommand:contract" help:"create, replace, remove or show contracts"`
	Member   *memberCmd   `arg:"subcommand:member" help:"list or change the members of the control group"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"report that an upstream has ended"`
	Status   *statusCmd   `arg:"subcommand:status" help:"show one node's view of the system"`
	Audit    *auditCmd    `arg:"subcommand:audit" help:"print the audit trail"`
	Drain    *drainCmd    `arg:"subcommand:drain" help:"begin a planned stop of one node"`
	HashKey  *hashKeyCmd  `arg:"subcommand:hash-key" help:"print the hash of a caller's key, read from standard input"`
	Demo     *demoCmd     `arg:"subcommand:demo" help:"run three nodes and stand-in upstreams on this machine and show each outcome"`
}

// Description returns the text at the top of --help.
func (args) Description() string {
	return "agateslip serves many rarely used models for customers with contracts.\n\n" +
		"Every limit follows from the contracts, which operators create, replace and remove.\n"
}

// Epilogue returns the text at the end of --help.
func (args) Epilogue() string {
	return "Exit status: 0 success; 1 failure; 2 invalid input, nothing changed;\n" +
		"3 refused or in conflict with another change, nothing changed; 4 no node could\n" +
		"decide: resend with the same change id to learn the outcome.\n\n" +
		"See README.md for a first start and docs/operators/ for the operators' pages."
}

// command is a subcommand that can be run. It prints its result to out and warnings to
// errOut.
type command interface {
	run(ctx context.Context, out, errOut io.Writer) error
}

// Main runs the command line of the process until it ends or receives SIGTERM or an
// interrupt, and returns the exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run parses argv, which does not contain the program name, runs the subcommand and
// returns the exit status.
func Run(ctx context.Context, argv []string, out, errOut io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "agateslip", Out: errOut, Exit: func(int) {}}, &a)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "command line definition"))
	}
	err = parser.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "agateslip: %v\n", err)
		return ExitInput
	}
	cmd, ok := runnable(parser.Subcommand())
	if !ok {
		_ = parser.WriteHelpForSubcommand(errOut, parser.SubcommandNames()...)
		return ExitInput
	}
	return reportError(cmd.run(ctx, out, errOut), errOut)
}

// runnable returns sub as a command. It reports false if no subcommand was given, or
// only one that needs a further subcommand.
func runnable(sub any) (command, bool) {
	cmd, ok := sub.(command)
	return cmd, ok
}

// reportError prints err, if any, and returns the exit status.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "agateslip: %v\n", err)
	return exitStatus(err)
}

// errInput marks an error that was caused by the input.
var errInput = errors.New("wrong input")

func exitStatus(err error) int {
	var problems yamlcheck.Problems
	var apiErr *operator.APIError
	switch {
	case errors.As(err, &problems), errors.Is(err, errInput):
		return ExitInput
	case errors.As(err, &apiErr):
		return exitStatusForHTTP(apiErr.Status)
	case errors.Is(err, operator.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

// exitStatusForHTTP returns the exit status for a node's answer with an error status.
func exitStatusForHTTP(httpStatus int) int {
	switch {
	case httpStatus == 409:
		return ExitConflict
	case httpStatus >= 500:
		return ExitUnavailable
	default:
		return ExitInput
	}
}
