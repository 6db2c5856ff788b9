// Command standin runs one stand-in (a model engine, a plain service or a weight
// store) as a process, for tests. Once it listens, it prints its address and process
// id as one line of JSON. On SIGTERM or SIGINT an engine or a service announces that
// it is leaving; the process then finishes its work and exits with status 0.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/agateslip/agateslip/directory"
	"github.com/agateslip/agateslip/internal/standin"
)

// exitKilledByFault is the exit status of an engine that is killed by an injected fault.
const exitKilledByFault = 3

// upstreamArgs are the flags that engines and services share.
type upstreamArgs struct {
	ID            string        `arg:"--id,required" help:"name, the same after every restart"`
	Domain        string        `arg:"--domain,required" help:"failure domain"`
	Entries       []string      `arg:"--entry,separate" help:"address of an entry node to announce to; may be repeated"`
	Listen        string        `arg:"--listen" help:"address to listen on; a free loopback port if unset"`
	Advertise     string        `arg:"--advertise" help:"address to announce; the listen address if unset"`
	Incarnation   uint64        `arg:"--incarnation" help:"number that is unique for each start; derived from the time of day if unset"`
	AnnounceEvery time.Duration `arg:"--announce-every" help:"interval between announcements"`
	LeaveGrace    time.Duration `arg:"--leave-grace" help:"how long a leaving stand-in still accepts requests"`
	Slots         int           `arg:"--slots" help:"maximum number of requests that run at once"`
	Scale         float64       `arg:"--scale" default:"1" help:"factor on simulated times"`
}

// engineArgs are the flags of an engine.
type engineArgs struct {
	upstreamArgs
	Memory         int64         `arg:"--memory" help:"accelerator memory in bytes"`
	Queue          int           `arg:"--queue" help:"maximum number of requests that wait for a slot"`
	IgnoreFencing  bool          `arg:"--ignore-fencing" help:"execute orders even if their fencing number is outdated"`
	Copies         []string      `arg:"--copy,separate" help:"MODEL=TIER of a checkpoint copy that is held at the start; may be repeated"`
	Store          string        `arg:"--store" help:"address of the weight store"`
	Prefill        time.Duration `arg:"--prefill" help:"time to the first token, before scaling"`
	Token          time.Duration `arg:"--token" help:"time between tokens, before scaling"`
	LoadLag        time.Duration `arg:"--load-lag" help:"age of the load figures in announcements"`
	CacheLag       time.Duration `arg:"--cache-lag" help:"delay of prefix cache events"`
	CacheDropEvery int           `arg:"--cache-drop-every" help:"drop every Nth batch of prefix cache events; 0 drops none"`
}

// serviceArgs are the flags of a plain service.
type serviceArgs struct {
	upstreamArgs
	Service string        `arg:"--service,required" help:"name of the service"`
	Work    time.Duration `arg:"--work" help:"duration of a call, before scaling"`
}

// storeArgs are the flags of a weight store.
type storeArgs struct {
	Listen string        `arg:"--listen" help:"address to listen on; a free loopback port if unset"`
	Fetch  time.Duration `arg:"--fetch" help:"duration of a fetch at full speed, before scaling"`
	Rate   float64       `arg:"--rate" help:"maximum number of fetches started per second, before scaling"`
	Scale  float64       `arg:"--scale" default:"1" help:"factor on simulated times"`
}

// args holds the subcommands, one for each kind of stand-in.
type args struct {
	Engine  *engineArgs  `arg:"subcommand:engine" help:"run a model engine"`
	Service *serviceArgs `arg:"subcommand:service" help:"run a plain service"`
	Store   *storeArgs   `arg:"subcommand:store" help:"run a weight store"`
}

// process is a stand-in of any kind.
type process interface {
	Start(ctx context.Context) error
	Addr() string
	Stop(ctx context.Context) error
}

// readyLine is the JSON line that is printed once the stand-in listens.
type readyLine struct {
	Addr string `json:"addr"`
	PID  int    `json:"pid"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	p, err := newProcess(&a)
	if err != nil {
		parser.Fail(err.Error())
	}
	if err := run(p); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts a stand-in and stops it on SIGTERM or SIGINT.
func run(p process) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Start(ctx); err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(readyLine{Addr: p.Addr(), PID: os.Getpid()}); err != nil {
		return err
	}
	<-ctx.Done()
	return p.Stop(context.WithoutCancel(ctx))
}

// newProcess returns the stand-in that the subcommand selects, not started.
func newProcess(a *args) (process, error) {
	switch {
	case a.Engine != nil:
		return newEngine(a.Engine)
	case a.Service != nil:
		return newService(a.Service), nil
	case a.Store != nil:
		return standin.NewStore(standin.StoreConfig{
			Listen: a.Store.Listen,
			Fetch:  a.Store.Fetch,
			Rate:   a.Store.Rate,
			Scale:  standin.Scale(a.Store.Scale),
		}), nil
	}
	return nil, fmt.Errorf("a subcommand is required")
}

// newEngine returns an engine that is not started.
func newEngine(a *engineArgs) (process, error) {
	copies, err := parseCopies(a.Copies)
	if err != nil {
		return nil, err
	}
	return standin.NewEngine(standin.EngineConfig{
		ID:             a.ID,
		Domain:         a.Domain,
		Entries:        a.Entries,
		Listen:         a.Listen,
		Advertise:      a.Advertise,
		Incarnation:    a.Incarnation,
		AnnounceEvery:  a.AnnounceEvery,
		LeaveGrace:     a.LeaveGrace,
		Slots:          a.Slots,
		Scale:          standin.Scale(a.Scale),
		Memory:         a.Memory,
		Queue:          a.Queue,
		ChecksFencing:  !a.IgnoreFencing,
		Copies:         copies,
		Store:          a.Store,
		Prefill:        a.Prefill,
		Token:          a.Token,
		LoadLag:        a.LoadLag,
		CacheLag:       a.CacheLag,
		CacheDropEvery: a.CacheDropEvery,
		OnDeath:        func() { os.Exit(exitKilledByFault) },
	}), nil
}

// newService returns a plain service that is not started.
func newService(a *serviceArgs) process {
	return standin.NewService(standin.ServiceConfig{
		ID:            a.ID,
		Domain:        a.Domain,
		Entries:       a.Entries,
		Listen:        a.Listen,
		Advertise:     a.Advertise,
		Incarnation:   a.Incarnation,
		AnnounceEvery: a.AnnounceEvery,
		LeaveGrace:    a.LeaveGrace,
		Slots:         a.Slots,
		Scale:         standin.Scale(a.Scale),
		Service:       a.Service,
		Work:          a.Work,
	})
}

// parseCopies parses MODEL=TIER pairs. It does not check that the tier is known.
func parseCopies(pairs []string) ([]directory.Copy, error) {
	var copies []directory.Copy
	for _, pair := range pairs {
		model, tier, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, fmt.Errorf("--copy %q: must be MODEL=TIER", pair)
		}
		copies = append(copies, directory.Copy{Model: model, Tier: directory.Tier(tier)})
	}
	return copies, nil
}
