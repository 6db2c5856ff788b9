// Command agateslip is every process of the system: entry nodes, their tools
// and the demonstration.
package main

import (
	"os"

	"github.com/agateslip/agateslip/internal/cli"
)

func main() { os.Exit(cli.Main()) }
