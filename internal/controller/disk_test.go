package controller_test

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/internal/storage"
)

// controlledDisk is the file system of the operating system with switches that simulate
// a full disk, a slow one and one that stalls.
type controlledDisk struct {
	storage.OS
	full, stalled atomic.Bool
	// syncDelay is how much longer, in nanoseconds, each sync of a file takes.
	syncDelay atomic.Int64
}

// Create implements storage.FS.
func (d *controlledDisk) Create(name string) (storage.File, error) {
	if d.full.Load() {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	f, err := d.OS.Create(name)
	return slowFile{f, d}, err
}

// TestNodeWaitsWhileDiskIsFull restarts a member while its disk is full. The member must
// neither exit nor give up its identity, the others must keep deciding changes, and the
// member must continue with its log once there is space.
func TestNodeWaitsWhileDiskIsFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17380, 5)
	c.start(0, 1, 2, 3, 4)
	c.waitForVoters(0)
	c.accept(0, 1, "one")
	waiting := c.nodes[0]
	c.kill(0)
	waiting.disk.full.Store(true)
	started := make(chan struct{})
	go func() {
		defer close(started)
		c.start(0)
	}()
	c.accept(1, 2, "two")
	for end := time.Now().Add(waitTimeout); !strings.Contains(waiting.log.Tail(1<<20), `"disk is full"`); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the full disk was not logged")
		}
	}
	select {
	case <-started:
		t.Fatal("node started while its disk was full")
	case <-time.After(time.Second):
	}
	waiting.disk.full.Store(false)
	<-started
	document, _ := c.read(0)
	is.Equal(document, "two")
	is.Equal(strings.Count(waiting.log.Tail(1<<20), `"log created"`), 1) // only at the first start
}
