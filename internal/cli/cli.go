// Package cli is the command line of agateslip.
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

// Exit statuses.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailure means that something failed that input did not cause.
	ExitFailure = 1
	// ExitInput means that the input is wrong; nothing was changed.
	ExitInput = 2
	// ExitConflict means that another change won, or that a rule forbids the
	// change; nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that no node could decide or answer; the change may or may not
	// have been accepted, and a resend with the same change id tells.
	ExitUnavailable = 4
)

type args struct {
	Serve    *serveCmd    `arg:"subcommand:serve" help:"run one entry node"`
	Entry    *entryCmd    `arg:"subcommand:entry" help:"run an entry node of a managed deployment"`
	Inspect  *inspectCmd  `arg:"subcommand:inspect" help:"show what one node of a managed deployment knows"`
	Control  *controlCmd  `arg:"subcommand:control" help:"run a control node of a managed deployment"`
	Init     *initCmd     `arg:"subcommand:init" help:"prepare the data folder of a node that has a vote"`
	Config   *configCmd   `arg:"subcommand:config" help:"check settings and contracts"`
	Contract *contractCmd `arg:"subcommand:contract" help:"accept, change or read contracts"`
	Member   *memberCmd   `arg:"subcommand:member" help:"read or repair the control group"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"tell what became of an upstream"`
	Status   *statusCmd   `arg:"subcommand:status" help:"show one node's view of the system"`
	Audit    *auditCmd    `arg:"subcommand:audit" help:"print the audit trail"`
	Drain    *drainCmd    `arg:"subcommand:drain" help:"begin a planned stop of one node"`
	HashKey  *hashKeyCmd  `arg:"subcommand:hash-key" help:"print the hash of a caller's key, read from standard input"`
	Demo     *demoCmd     `arg:"subcommand:demo" help:"run three nodes and stand-in upstreams on this machine and show each outcome"`
}

// Description is the head of --help.
func (args) Description() string {
	return "agateslip serves many rarely used models for customers with contracts.\n\n" +
		"Every limit follows from the contracts; operators accept or change those.\n"
}

// Epilogue is the foot of --help.
func (args) Epilogue() string {
	return "Exit status: 0 done; 1 failed; 2 wrong input, nothing changed;\n" +
		"3 refused or another change won, nothing changed; 4 no node could decide,\n" +
		"resend with the same change id to learn the outcome.\n\n" +
		"See README.md for a first start and docs/operators/ for the operators' pages."
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, out, errOut io.Writer) error
}

// Main runs the command line and returns the exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs one command line and returns the exit status.
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
	cmd, ok := leaf(parser.Subcommand())
	if !ok {
		_ = parser.WriteHelpForSubcommand(errOut, parser.SubcommandNames()...)
		return ExitInput
	}
	return report(cmd.run(ctx, out, errOut), errOut)
}

// leaf says whether the chosen subcommand can run by itself.
func leaf(sub any) (command, bool) {
	cmd, ok := sub.(command)
	return cmd, ok
}

func report(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "agateslip: %v\n", err)
	return exitStatus(err)
}

// errInput marks an error that the input caused.
var errInput = errors.New("wrong input")

func exitStatus(err error) int {
	var problems yamlcheck.Problems
	var api *operator.APIError
	switch {
	case errors.As(err, &problems), errors.Is(err, errInput):
		return ExitInput
	case errors.As(err, &api):
		return apiStatus(api.Status)
	case errors.Is(err, operator.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

func apiStatus(status int) int {
	switch {
	case status == 409:
		return ExitConflict
	case status >= 500:
		return ExitUnavailable
	default:
		return ExitInput
	}
}
