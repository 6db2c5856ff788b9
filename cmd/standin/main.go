// Command standin runs one stand-in as a process, for tests. It prints its
// address as one line of JSON, and on SIGTERM announces that it is leaving,
// finishes its work and exits with status 0.
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

// exitDeath is the exit status of a scripted death.
const exitDeath = 3

// upstreamArgs are the flags of engines and services.
type upstreamArgs struct {
	ID            string        `arg:"--id,required" help:"stable name"`
	Domain        string        `arg:"--domain,required" help:"failure domain"`
	Entries       []string      `arg:"--entry,separate" help:"address of an entry node; repeat for more"`
	Listen        string        `arg:"--listen" help:"address to listen on"`
	Advertise     string        `arg:"--advertise" help:"address to announce; the one listened on if unset"`
	Incarnation   uint64        `arg:"--incarnation" help:"number of this start"`
	AnnounceEvery time.Duration `arg:"--announce-every" help:"interval of announcements"`
	LeaveGrace    time.Duration `arg:"--leave-grace" help:"time a leaving stand-in still takes requests"`
	Slots         int           `arg:"--slots" help:"requests run at once"`
	Scale         float64       `arg:"--scale" default:"1" help:"factor on simulated times"`
}

// engineArgs are the flags of an engine.
type engineArgs struct {
	upstreamArgs
	Memory        int64         `arg:"--memory" help:"accelerator memory in bytes"`
	Queue         int           `arg:"--queue" help:"requests waiting at once"`
	IgnoreFencing bool          `arg:"--ignore-fencing" help:"carry out orders with old fencing numbers"`
	Copies        []string      `arg:"--copy,separate" help:"MODEL=TIER held at the start; repeat for more"`
	Store         string        `arg:"--store" help:"address of the weight store"`
	Prefill       time.Duration `arg:"--prefill" help:"time to the first token"`
	Token         time.Duration `arg:"--token" help:"time between tokens"`
	LoadLag       time.Duration `arg:"--load-lag" help:"age of reported load"`
	CacheLag      time.Duration `arg:"--cache-lag" help:"age of cache events"`
	CacheDrop     int           `arg:"--cache-drop-every" help:"lose each so-manieth batch of cache events"`
}

// serviceArgs are the flags of a service.
type serviceArgs struct {
	upstreamArgs
	Service string        `arg:"--service,required" help:"name of the service"`
	Work    time.Duration `arg:"--work" help:"time of a call"`
}

// storeArgs are the flags of a weight store.
type storeArgs struct {
	Listen string        `arg:"--listen" help:"address to listen on"`
	Fetch  time.Duration `arg:"--fetch" help:"time of a fetch at full speed"`
	Rate   float64       `arg:"--rate" help:"fetches started a second"`
	Scale  float64       `arg:"--scale" default:"1" help:"factor on simulated times"`
}

// args are the subcommands.
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

// ready is the line printed once the stand-in listens.
type ready struct {
	Addr string `json:"addr"`
	PID  int    `json:"pid"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	p, err := build(&a)
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
	if err := json.NewEncoder(os.Stdout).Encode(ready{Addr: p.Addr(), PID: os.Getpid()}); err != nil {
		return err
	}
	<-ctx.Done()
	return p.Stop(context.WithoutCancel(ctx))
}

// build makes the stand-in that the command line asks for.
func build(a *args) (process, error) {
	switch {
	case a.Engine != nil:
		return buildEngine(a.Engine)
	case a.Service != nil:
		return buildService(a.Service), nil
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

// buildEngine makes an engine.
func buildEngine(a *engineArgs) (process, error) {
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
		CacheDropEvery: a.CacheDrop,
		OnDeath:        func() { os.Exit(exitDeath) },
	}), nil
}

// buildService makes a plain service.
func buildService(a *serviceArgs) process {
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

// parseCopies reads MODEL=TIER pairs.
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
