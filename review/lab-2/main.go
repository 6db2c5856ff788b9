//go:build review2

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(record string, trouble bool) (broken int, err error){"fuzz": fuzz, "control": control, "budget": budget}
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-lab-2 CASE RECORD")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(2)
	case broken > 0:
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
