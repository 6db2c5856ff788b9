package cli

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/edge"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/platform"
)

const (
	// memoryShare is the share of the allowed memory at which the garbage collector
	// works harder; the rest is for stacks, buffers and the kernel's.
	memoryShare = 0.6
	// logWait is how long an ending process waits for its log to be taken.
	logWait = 200 * time.Millisecond
	// engineDial bounds a connection for an order.
	engineDial = 400 * time.Millisecond
	// apiIdle and apiHeader bound operators' and upstreams' connections.
	apiIdle   = 60 * time.Second
	apiHeader = 10 * time.Second
)

// entryCmd runs an entry node of a managed deployment.
type entryCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the process's settings, YAML"`
}

func (c *entryCmd) run(ctx context.Context, out, _ io.Writer) error {
	return runManaged(ctx, c.Config, out, "entry", func(ctx context.Context, cfg config.Managed, log *eventlog.Log, page *overviewPage) error {
		e, err := edge.New(cfg, log, platform.Calls{}, platform.DecodeConfiguration)
		if err != nil {
			return err
		}
		page.show(func(ctx context.Context) (any, error) { return e.Overview(ctx) })
		go reload(ctx, c.Config, log, e.Reload)
		context.AfterFunc(ctx, e.Stop)
		return e.Run(ctx)
	})
}

// controlCmd runs a control node of a managed deployment.
type controlCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the process's settings, YAML"`
}

func (c *controlCmd) run(ctx context.Context, out, _ io.Writer) error {
	return runManaged(ctx, c.Config, out, "control", func(ctx context.Context, cfg config.Managed, log *eventlog.Log, page *overviewPage) error {
		engines := platform.Engines{Pool: upstreamconn.NewPool(engineDial)}
		node, err := controller.New(ctx, cfg, log, platform.DecodeConfiguration, engines)
		if err != nil {
			return err
		}
		page.show(func(ctx context.Context) (any, error) { return node.Overview(ctx) })
		go reload(ctx, c.Config, log, node.Reload)
		return node.Run(ctx, supervisor.Part{Name: "operators", Run: func(ctx context.Context) error {
			return serveHTTP(ctx, cfg.Listen.Operators, platform.ControlHandler(node, log))
		}})
	})
}

// runManaged runs a process with its log, metrics and memory limit.
func runManaged(
	ctx context.Context, path string, out io.Writer, role string,
	run func(context.Context, config.Managed, *eventlog.Log, *overviewPage) error,
) error {
	cfg, err := config.LoadManaged(path)
	if err != nil {
		return errors.Mark(err, errInput)
	}
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryShare))
	log := eventlog.New(out, eventlog.Fields{"node": cfg.Node, "role": role})
	defer log.Close(logWait)
	log.Event("started", eventlog.Fields{
		"domain": cfg.Domain, "seeds": cfg.Seeds, "firstStart": cfg.FirstStart, "links": cfg.Listen.Links,
	})
	page := &overviewPage{}
	if cfg.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", metrics.Handler())
		mux.Handle("GET "+overviewPath, page)
		go func() {
			if err := serveHTTP(ctx, cfg.Listen.Metrics, mux); err != nil {
				log.Event("metrics not served", eventlog.Fields{"error": err.Error()})
			}
		}()
	}
	err = run(ctx, cfg, log, page)
	fields := eventlog.Fields{"asked": ctx.Err() != nil}
	if err != nil {
		fields["error"] = err.Error()
	}
	log.Event("stopped", fields)
	return err
}

// reload reads the settings again at each hangup signal.
func reload(ctx context.Context, path string, log *eventlog.Log, take func(config.Managed)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := config.LoadManaged(path)
		if err != nil {
			log.Event("settings not reloaded", eventlog.Fields{"error": err.Error()})
			continue
		}
		log.Event("settings reloaded", eventlog.Fields{"seeds": cfg.Seeds})
		take(cfg)
	}
}

// serveHTTP serves until the context ends.
func serveHTTP(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: apiHeader, IdleTimeout: apiIdle}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", addr)
	}
	return nil
}
