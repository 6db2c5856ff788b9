package controller_test

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agateslip/agateslip/confstate"
	"github.com/agateslip/agateslip/internal/storage"
)

// controlledDisk is the operating system's file system, which can be full.
type controlledDisk struct {
	storage.OS
	full atomic.Bool
}

// Create implements storage.FS.
func (d *controlledDisk) Create(name string) (storage.File, error) {
	if d.full.Load() {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	return d.OS.Create(name)
}

// TestANodeWaitsWhileItsDiskIsFull starts a member again whose disk takes no more
// bytes: it neither ends nor gives its identity up, the others decide changes
// meanwhile, and it goes on with its log once there is room.
func TestANodeWaitsWhileItsDiskIsFull(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 17380, 5)
	c.start(0, 1, 2, 3, 4)
	c.settled(0)
	is.Equal(c.configure(0, 1, "one"), confstate.Accepted)
	waits := c.nodes[0]
	c.kill(0)
	waits.disk.full.Store(true)
	started := make(chan struct{})
	go func() {
		defer close(started)
		c.start(0)
	}()
	is.Equal(c.configure(1, 2, "two"), confstate.Accepted)
	for end := time.Now().Add(patience); !strings.Contains(waits.log.Tail(1<<20), `"disk is full"`); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no word of the full disk")
		}
	}
	select {
	case <-started:
		t.Fatal("it started without a disk")
	case <-time.After(time.Second):
	}
	waits.disk.full.Store(false)
	<-started
	document, _ := c.read(0)
	is.Equal(document, "two")
	is.Equal(strings.Count(waits.log.Tail(1<<20), `"log created"`), 1) // at its first start only
}
