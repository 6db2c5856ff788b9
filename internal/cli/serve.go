package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/node"
	"github.com/agateslip/agateslip/raft"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// serveCmd runs one node of a fixed group of peers.
type serveCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the node's settings, YAML"`
	Init   bool   `arg:"--init" help:"prepare an empty data folder as agateslip init does, for a first start"`
}

func (c *serveCmd) run(ctx context.Context, _, errOut io.Writer) error {
	cfg, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	limitMemory(cfg.MemoryMB)
	if c.Init && cfg.Data != "" {
		if _, err := node.InitVoter(cfg); err != nil {
			return err
		}
	}
	n, err := node.New(cfg, newLog(cfg.Log, errOut))
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

func loadConfig(path string) (config.Config, error) {
	cfg, err := config.Load(path)
	if err != nil {
		return cfg, errors.Mark(err, errInput)
	}
	return cfg, nil
}

// newLog returns a structured logger that writes to out. Nodes log to standard error
// only, so that logging does not slow down a node that enforces contracts. An invalid
// level means info.
func newLog(c config.Log, out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	level, err := logrus.ParseLevel(c.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	if c.Format == "text" {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return log
}

type initCmd struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"the node's settings, YAML"`
	Rejoin bool   `arg:"--rejoin" help:"create a member with a new id on a node whose disk was lost; then run agateslip member replace"`
}

func (c *initCmd) run(_ context.Context, out, _ io.Writer) error {
	cfg, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	prepare := node.InitVoter
	if c.Rejoin {
		prepare = node.InitRejoin
	}
	var id raft.MemberID
	id, err = prepare(cfg)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "member %d\n", id)
	return errors.Wrap(err, "print")
}
