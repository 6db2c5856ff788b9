package controller

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/config"
	"github.com/agateslip/agateslip/internal/eventlog"
	"github.com/agateslip/agateslip/internal/faultfs"
)

// TestDamagedFounderGetsNewID guards against a founder that takes its ID again after damage while the settings still say that it
// starts for the first time: it may have voted under this ID. One whose log was never created keeps the ID.
func TestDamagedFounderGetsNewID(t *testing.T) {
	is := is.New(t)
	const identity, link = "/data/IDENTITY", "10.0.0.1:2"
	files := faultfs.New()
	cfg := config.Managed{FirstStart: true, Data: "/data", Seeds: []string{"10.0.0.1:1"}}
	cfg.Listen.Operators, cfg.Listen.Links = cfg.Seeds[0], link
	start := func() uint64 {
		files.Crash(nil)
		log := eventlog.New(io.Discard, nil)
		c := &Controller{cfg: cfg, log: log, files: files, seeds: []string{link}, stateMachine: newStateMachine(nil, log, func() {})}
		_, err := c.openOrCreateLog()
		is.NoErr(err)
		return uint64(c.member)
	}
	founder := uint64(founderID(link))
	is.Equal(start(), founder)
	is.Equal(start(), founder)
	data, err := files.ReadFile(identity)
	is.NoErr(err)
	files.Put(identity, bytes.ToUpper(data))
	successor := start()
	is.True(successor != founder)
	is.Equal(start(), successor)
}
