package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Scenarios returns the scenario named tonwerk or pecan, or both.
func Scenarios(user string) ([]Scenario, error) {
	switch user {
	case "tonwerk":
		return []Scenario{Tonwerk()}, nil
	case "pecan":
		return []Scenario{Pecan()}, nil
	case "both":
		return []Scenario{Tonwerk(), Pecan()}, nil
	default:
		return nil, errors.Newf("unknown user %q", user)
	}
}

// WriteTable writes results as a table for people. Times are in milliseconds; violations
// include over-commits.
func WriteTable(out io.Writer, results []Result) error {
	for _, r := range results {
		if _, err := fmt.Fprintf(out, "%s, seed %d, %d days\n", r.Scenario, r.Seed, r.Days); err != nil {
			return err
		}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintln(table, "policy\tcalls\tcold\tp50\tp95\tp99\tp99.9\tall p99\trefused\tmissed\tidle h\theld h\tloads\tduplicates\tviolations\t")
		for _, m := range r.Policies {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t\n",
				m.Policy, m.Calls, m.ColdStart.Count, m.ColdStart.P50, m.ColdStart.P95, m.ColdStart.P99, m.ColdStart.P999, m.AnswerStart.P99,
				m.Refused, m.Missed, m.IdleHours, m.HeldHours, m.Loads, m.Duplicates, len(m.Violations)+m.OverCommits)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	return nil
}
