// Package faultfs is a file system in memory for tests of internal/storage. It
// keeps synced and unsynced data apart, fails operations on demand, and
// crashes: what was not synced is then lost, wholly or in part.
package faultfs

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/agateslip/agateslip/internal/storage"
)

// FS implements storage.FS. Methods may be called from any goroutine.
type FS struct {
	mu sync.Mutex
	// syncDelay is how long each sync of a file takes.
	syncDelay time.Duration
	// names are the files as the process sees them; durable is what a crash
	// leaves, journal the changes of names since the last SyncDir.
	names   map[string]*node
	durable map[string]*node
	journal []func(map[string]*node)
	locked  map[string]bool
	ops     int
	syncs   int
	faults  map[int]error
	dead    error
	epoch   int
}

// node is the contents of one file.
type node struct {
	data   []byte
	synced int
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		names:   map[string]*node{},
		durable: map[string]*node{},
		locked:  map[string]bool{},
		faults:  map[int]error{},
	}
}

// FailAt makes the changing operation with this number, counted from zero over
// the life of the file system, return err. A write that fails writes half.
func (f *FS) FailAt(op int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = err
}

// DieAt makes the operation with this number and all later ones fail, as for a
// process that is killed there.
func (f *FS) DieAt(op int) { f.FailAt(op, errDied) }

// Die makes every later operation fail.
func (f *FS) Die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = errDied
}

var errDied = errors.New("process died")

// SetSyncDelay sets how long each sync of a file takes from now on.
func (f *FS) SetSyncDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncDelay = d
}

func (f *FS) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncDelay
}

// Ops returns how many changing operations were done.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ops
}

// Syncs returns how many files and folders were synced.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Crash drops what was not synced. With random non-nil, parts of it survive:
// some of the changes of names, and of each file a prefix of the unsynced
// data. Files opened before the crash fail from then on; locks are released.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	keep := 0
	if random != nil {
		keep = random.IntN(len(f.journal) + 1)
	}
	for _, change := range f.journal[:keep] {
		change(f.durable)
	}
	f.names = map[string]*node{}
	for _, name := range sortedNames(f.durable) {
		n := f.durable[name]
		end := n.synced
		if random != nil {
			end += random.IntN(len(n.data) - n.synced + 1)
		}
		f.names[name] = &node{data: slices.Clone(n.data[:end]), synced: end}
	}
	f.durable = cloneNames(f.names)
	f.journal = nil
	f.locked = map[string]bool{}
	f.faults = map[int]error{}
	f.dead = nil
	f.epoch++
}

// Wipe removes every file, as a replaced disk does.
func (f *FS) Wipe() {
	f.Crash(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = map[string]*node{}
	f.durable = map[string]*node{}
}

// Put replaces a file's contents durably.
func (f *FS) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &node{data: slices.Clone(data), synced: len(data)}
	f.names[name] = n
	f.durable[name] = n
}

// Names lists the paths of all files, sorted.
func (f *FS) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedNames(f.names)
}

// begin counts an operation and returns its injected error. The caller holds mu.
func (f *FS) begin() error {
	op := f.ops
	f.ops++
	if f.dead != nil {
		return f.dead
	}
	err := f.faults[op]
	if errors.Is(err, errDied) {
		f.dead = err
	}
	return err
}

// change applies a change of names now, and after a crash if it is durable.
func (f *FS) change(apply func(map[string]*node)) {
	apply(f.names)
	f.journal = append(f.journal, apply)
}

// MkdirAll implements storage.FS.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements storage.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range sortedNames(f.names) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.names[name]
	if !ok {
		return nil, errors.Wrapf(fs.ErrNotExist, "%s", name)
	}
	return slices.Clone(n.data), nil
}

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin(); err != nil {
		return nil, err
	}
	n := &node{}
	f.change(func(names map[string]*node) { names[name] = n })
	return &file{fs: f, node: n, epoch: f.epoch}, nil
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin(); err != nil {
		return nil, err
	}
	n, ok := f.names[name]
	if !ok {
		return nil, errors.Wrapf(fs.ErrNotExist, "%s", name)
	}
	return &file{fs: f, node: n, epoch: f.epoch}, nil
}

// Rename implements storage.FS.
func (f *FS) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	n, ok := f.names[oldName]
	if !ok {
		return errors.Wrapf(fs.ErrNotExist, "%s", oldName)
	}
	f.change(func(names map[string]*node) {
		delete(names, oldName)
		names[newName] = n
	})
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	f.change(func(names map[string]*node) { delete(names, name) })
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	f.syncs++
	f.durable = cloneNames(f.names)
	f.journal = nil
	return nil
}

// Lock implements storage.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locked[name] {
		return nil, errors.Wrapf(storage.ErrLocked, "%s", name)
	}
	f.locked[name] = true
	return &lock{fs: f, name: name, epoch: f.epoch}, nil
}

type lock struct {
	fs    *FS
	name  string
	epoch int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locked, l.name)
	}
	return nil
}

type file struct {
	fs    *FS
	node  *node
	epoch int
}

// begin counts an operation on an open file. The caller holds mu.
func (f *file) begin() error {
	if f.epoch != f.fs.epoch {
		return errDied
	}
	return f.fs.begin()
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.begin(); err != nil {
		half := len(p) / 2
		if f.epoch == f.fs.epoch {
			f.node.data = append(f.node.data, p[:half]...)
		}
		return half, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	time.Sleep(f.fs.delay())
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	f.fs.syncs++
	f.node.synced = len(f.node.data)
	return nil
}

func (f *file) Close() error { return nil }

func sortedNames(names map[string]*node) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.SortFunc(sorted, strings.Compare)
	return sorted
}

func cloneNames(names map[string]*node) map[string]*node {
	clone := make(map[string]*node, len(names))
	for name, n := range names {
		clone[name] = n
	}
	return clone
}
