package controller_test

import (
	"testing"
	"time"

	"github.com/agateslip/agateslip/internal/storage"
)

// slowFile is a file whose syncs take longer, and wait while its disk stalls.
type slowFile struct {
	storage.File
	disk *controlledDisk
}

// Sync implements storage.File.
func (f slowFile) Sync() error {
	time.Sleep(time.Duration(f.disk.syncDelay.Load()))
	for f.disk.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	return f.File.Sync()
}

// Append implements storage.FS.
func (d *controlledDisk) Append(name string) (storage.File, error) {
	f, err := d.OS.Append(name)
	return slowFile{f, d}, err
}

// TestConfigurationIsReadWithSlowDisks guards against a group that has no leader, although its nodes run and are
// connected, for as long as flushes take longer than its election timeout: while all members run, and after a
// loss of power with two disks lost.
func TestConfigurationIsReadWithSlowDisks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 18060, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	c.accept(0, 1, "one")
	for _, n := range c.nodes {
		n.disk.syncDelay.Store(int64(600 * time.Millisecond))
	}
	c.accept(3, 2, "two")
	c.requireReads("two", 0, 1, 2, 3, 4)
	c.accept(2, 3, "three")
	c.restartWithTwoDisksLost([2]int{1, 3}, 0, 2, 4)
	c.requireReads("three", 0, 2, 4)
}
