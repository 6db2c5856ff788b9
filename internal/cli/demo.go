package cli

import (
	"context"
	"io"
)

type demoCmd struct{}

func (c *demoCmd) run(_ context.Context, _, _ io.Writer) error { return nil }
