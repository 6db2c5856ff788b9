// Command agateslip runs the entry nodes and control nodes of the system. It also
// holds the operators' tools and a demonstration.
package main

import (
	"os"

	"github.com/agateslip/agateslip/internal/cli"
)

func main() { os.Exit(cli.Main()) }
