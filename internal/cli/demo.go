package cli

import (
	"context"
	"io"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/demo"
)

type demoCmd struct {
	Log string `arg:"--log" default:"error" placeholder:"LEVEL" help:"lowest level of the nodes' logs: debug, info, warning or error"`
}

func (c *demoCmd) run(ctx context.Context, out, errOut io.Writer) error {
	return demo.Run(ctx, out, newLog(config.Log{Level: c.Log, Format: "text"}, errOut))
}
