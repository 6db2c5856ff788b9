//go:build review

// Command review-case plays one case of the review: it starts the nodes of a small deployment as
// processes, with upstreams and callers of its own, and checks what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenarios holds the cases by name. Each returns whether the rule was broken.
var scenarios = map[string]func(d *deployment, trouble bool) bool{
	"late-copy":      lateCopy,
	"helper-killed":  helperKilled,
	"departure-lost": departureLost,
	"large-bodies":   largeBodies,
	"silent-crash":   silentCrash,
}

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() { os.Exit(run(os.Args)) }

func run(args []string) (status int) {
	if len(args) != 3 || scenarios[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-case NAME FOLDER")
		return exitCannotRun
	}
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			status = exitCannotRun
		}
	}()
	d := newDeployment(args[2])
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		d.close()
		os.Exit(exitCannotRun)
	}()
	if scenarios[args[1]](d, os.Getenv("TROUBLE") != "0") {
		d.record("RESULT: the rule was broken")
		return exitBroken
	}
	d.record("RESULT: the rule held")
	return exitHeld
}
