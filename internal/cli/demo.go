package cli

import (
	"context"
	"io"
)

type demoCmd struct{}

func (c *demoCmd) run(ctx context.Context, out, errOut io.Writer) error { return nil }
