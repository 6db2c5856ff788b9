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
	"github.com/agateslip/agateslip/internal/connlimit"
	"github.com/agateslip/agateslip/internal/controller"
	"github.com/agateslip/agateslip/internal/edge"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/metrics"
	"github.com/agateslip/agateslip/internal/supervisor"
	"github.com/agateslip/agateslip/internal/upstreamconn"
	"github.com/agateslip/agateslip/platform"
)

const (
	// memoryLimitShare is the share of memoryMB that becomes the Go runtime's soft
	// memory limit, near which the garbage collector works harder. The rest is headroom
	// for stacks, buffers and the kernel's memory.
	memoryLimitShare = 0.6
	// logFlushTimeout limits how long an exiting process writes its buffered log lines.
	logFlushTimeout = 200 * time.Millisecond
	// orderDialTimeout limits connecting to an engine to send it an order.
	orderDialTimeout = 400 * time.Millisecond
	// httpIdleTimeout and httpHeaderTimeout limit how long a connection of an operator,
	// an upstream or a metrics reader may be idle, and how long its request headers may
	// take to arrive.
	httpIdleTimeout   = 60 * time.Second
	httpHeaderTimeout = 10 * time.Second
)

// entryCmd runs an entry node of a managed deployment.
type entryCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the process's settings, YAML"`
}

func (c *entryCmd) run(ctx context.Context, out, _ io.Writer) error {
	return RunEntry(ctx, c.Config, out)
}

// RunEntry runs an entry node with the settings at path until ctx ends, and logs to out.
func RunEntry(ctx context.Context, path string, out io.Writer, options ...edge.Option) error {
	return runManaged(ctx, path, out, "entry", func(ctx context.Context, cfg config.Managed, log *eventlog.Log, page *overviewPage, conns connections) error {
		options := append([]edge.Option{edge.WithGuard(conns.guard)}, options...)
		e, err := edge.New(cfg, log, platform.Calls{}, platform.DecodeConfiguration, options...)
		if err != nil {
			return err
		}
		page.setSource(func(ctx context.Context) (any, error) { return e.Overview(ctx) })
		go reloadOnHangup(ctx, path, log, e.Reload)
		context.AfterFunc(ctx, e.Stop)
		return e.Run(ctx)
	})
}

// controlCmd runs a control node of a managed deployment.
type controlCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the process's settings, YAML"`
}

func (c *controlCmd) run(ctx context.Context, out, _ io.Writer) error {
	return runManaged(ctx, c.Config, out, "control", func(ctx context.Context, cfg config.Managed, log *eventlog.Log, page *overviewPage, conns connections) error {
		engines := platform.Engines{Pool: upstreamconn.NewPool(upstreamconn.NewDial(orderDialTimeout))}
		node, err := controller.New(ctx, cfg, log, platform.DecodeConfiguration, engines)
		if err != nil {
			return err
		}
		page.setSource(func(ctx context.Context) (any, error) { return node.Overview(ctx) })
		go reloadOnHangup(ctx, c.Config, log, node.Reload)
		return node.Run(ctx, supervisor.Part{Name: "operators", Run: func(ctx context.Context) error {
			limits := connlimit.ListenerOptions{
				Name: "operators", MaxOpen: conns.shares.Operators, MaxPerAddress: cfg.Connections.PerAddress,
				ReadBuffer: conns.shares.ReadBuffer(conns.shares.Operators),
			}
			return conns.serveHTTP(ctx, cfg.Listen.Operators, limits, platform.ControlHandler(node, log, conns.limitBodies(&cfg)))
		}})
	})
}

// runManaged loads the settings at path, sets up the log, the metrics address and the
// memory limit of a managed process, and calls run. role is logged with every event.
func runManaged(
	ctx context.Context, path string, out io.Writer, role string,
	run func(context.Context, config.Managed, *eventlog.Log, *overviewPage, connections) error,
) error {
	cfg, err := config.LoadManaged(path)
	if err != nil {
		return errors.Mark(err, errInput)
	}
	limitMemory(cfg.MemoryMB)
	log := eventlog.New(out, eventlog.Fields{"node": cfg.Node, "role": role})
	defer log.Close(logFlushTimeout)
	log.Event("started", eventlog.Fields{
		"domain": cfg.Domain, "seeds": cfg.Seeds, "firstStart": cfg.FirstStart, "links": cfg.Listen.Links,
	})
	page := &overviewPage{}
	conns := newConnections(&cfg, log)
	if cfg.Listen.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", metrics.Handler())
		mux.Handle("GET "+overviewPath, page)
		go func() {
			limits := connlimit.ListenerOptions{Name: "metrics", MaxOpen: conns.shares.Side, ReadBuffer: conns.shares.ReadBuffer(conns.shares.Side)}
			if err := conns.serveHTTP(ctx, cfg.Listen.Metrics, limits, mux); err != nil {
				log.Event("metrics not served", eventlog.Fields{"error": err.Error()})
			}
		}()
	}
	err = run(ctx, cfg, log, page, conns)
	fields := eventlog.Fields{"asked": ctx.Err() != nil}
	if err != nil {
		fields["error"] = err.Error()
	}
	log.Event("stopped", fields)
	return err
}

// limitMemory sets the runtime's soft memory limit of a process with the given memory, in
// MiB: bodies that were dropped count until the collector has run.
func limitMemory(memoryMB int) {
	debug.SetMemoryLimit(int64(float64(memoryMB<<20) * memoryLimitShare))
}

// reloadOnHangup reads the settings again on each SIGHUP and passes them to apply, until
// ctx ends. Invalid settings are logged and ignored.
func reloadOnHangup(ctx context.Context, path string, log *eventlog.Log, apply func(config.Managed)) {
	hangups := make(chan os.Signal, 1)
	// Notify is not undone: a hangup would then end the process while it stops.
	signal.Notify(hangups, syscall.SIGHUP)
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
		apply(cfg)
	}
}

// serveHTTP serves handler on addr until ctx ends.
func (c connections) serveHTTP(ctx context.Context, addr string, limits connlimit.ListenerOptions, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout}
	listener = c.guard.Protect(server, listener, limits)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve on %s", addr)
	}
	return nil
}
