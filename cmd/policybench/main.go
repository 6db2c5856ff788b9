// Command policybench compares placement policies by simulation in virtual time.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/agateslip/agateslip/internal/policybench"
)

// arguments are the flags of the command line.
type arguments struct {
	User   string   `arg:"--user" default:"both" help:"scenario to simulate: tonwerk, pecan or both"`
	Policy []string `arg:"--policy" help:"policies to run: contract, on-demand, keep-alive, lru; all if unset"`
	Days   int      `arg:"--days" default:"5" help:"simulated days; the first two, or the first half if that is less, are warm-up and not counted"`
	Seed   uint64   `arg:"--seed" default:"1" help:"random seed of call arrivals and load times"`
	JSON   bool     `arg:"--json" help:"print JSON instead of a table"`
}

// Description returns the text at the top of --help.
func (arguments) Description() string {
	return "policybench runs the placement planner and three baseline policies on the same seeded\n" +
		"calls in virtual time, and prints their cold-start times and idle accelerator hours."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	scenarios, err := policybench.Scenarios(args.User)
	if err != nil {
		return err
	}
	if len(args.Policy) == 0 {
		args.Policy = policybench.Policies
	}
	var results []policybench.Result
	for _, s := range scenarios {
		results = append(results, policybench.Run(s, policybench.Options{
			Days: args.Days, Seed: args.Seed, Warmup: policybench.WarmupFor(args.Days), CheckFencing: true,
		}, args.Policy))
	}
	if args.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return policybench.WriteTable(os.Stdout, results)
}
