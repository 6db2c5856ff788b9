// Package faultfs is an in-memory file system for tests of code that uses
// internal/storage. It keeps synced and unsynced data apart, fails operations on demand,
// and simulates crashes, which lose unsynced data wholly or in part.
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

// FS implements storage.FS. It is safe for concurrent use. Its changing operations, which
// are counted and can be made to fail, are Create, Append, Rename, Remove and SyncDir, and
// the Write and Sync of a file.
type FS struct {
	mu sync.Mutex
	// syncDelay is how long each sync of a file takes.
	syncDelay time.Duration
	// files maps paths to the files that the process sees, and durableFiles to those
	// that a crash leaves. unsyncedChanges are the changes to the names since the
	// last SyncDir, in order.
	files           map[string]*inode
	durableFiles    map[string]*inode
	unsyncedChanges []func(map[string]*inode)
	locks           map[string]bool
	openFiles       int
	// opCount is the number of the next changing operation.
	opCount   int
	syncCount int
	// faults holds the injected fault of each operation number.
	faults map[int]fault
	// fatalErr, if not nil, is the error of every changing operation.
	fatalErr error
	// fullErr, if not nil, is the error of what would make the files larger than capacity
	// in bytes, together.
	fullErr  error
	capacity int
	// crashCount is the number of crashes and ends of the process. Files and locks keep its
	// value from when they were opened, which shows whether one came since.
	crashCount int
}

// fault is an injected error. If lasts is set, the operations after it fail too.
type fault struct {
	err   error
	lasts bool
}

// inode holds the contents of one file. A crash keeps at least its first syncedBytes bytes.
// writeEnds are the sizes of the file after each write since its last sync.
type inode struct {
	data        []byte
	syncedBytes int
	writeEnds   []int
}

func (n *inode) write(p []byte) {
	n.data = append(n.data, p...)
	n.writeEnds = append(n.writeEnds, len(n.data))
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		files:        map[string]*inode{},
		durableFiles: map[string]*inode{},
		locks:        map[string]bool{},
		faults:       map[int]fault{},
	}
}

// FailAt makes the changing operation number op return err. Operations are counted from
// zero over the life of the file system. A write that fails writes half of its data.
func (f *FS) FailAt(op int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = fault{err: err}
}

// FailFrom makes the changing operation number op and all later ones return err, until
// Free is called or the file system crashes.
func (f *FS) FailFrom(op int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[op] = fault{err: err, lasts: true}
}

// Fill leaves room for that many more bytes, until Free is called; a crash does not end
// it. A write of more writes what there is room for and returns err. Create of a new file
// returns err if there is no room. Operations that need no room succeed, and removed,
// replaced and truncated files leave theirs.
func (f *FS) Fill(room int, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.capacity, f.fullErr = f.used()+room, err
}

// Room returns how many more bytes there is room for after Fill.
func (f *FS) Room() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.capacity - f.used()
}

// used returns the size of all files. The caller holds mu.
func (f *FS) used() (bytes int) {
	for _, n := range f.files {
		bytes += len(n.data)
	}
	return bytes
}

// Free ends Fill and FailFrom.
func (f *FS) Free() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullErr, f.fatalErr, f.faults = nil, nil, map[int]fault{}
}

// EndProcess releases the locks and makes the open files fail, as the end of a process
// does. Unlike after a crash, unsynced changes stay visible.
func (f *FS) EndProcess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locks = map[string]bool{}
	f.openFiles = 0
	f.crashCount++
}

// DieAt makes the changing operation number op and all later ones fail, as if the
// process were killed at op.
func (f *FS) DieAt(op int) { f.FailFrom(op, errDied) }

// Die makes every later changing operation fail, as if the process were killed now.
func (f *FS) Die() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fatalErr = errDied
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

// Ops returns the number of changing operations so far, failed ones included.
func (f *FS) Ops() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opCount
}

// Syncs returns the number of successful syncs of files and folders.
func (f *FS) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncCount
}

// OpenFiles returns the number of files that the process has not closed.
func (f *FS) OpenFiles() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openFiles
}

// Crash drops unsynced changes. If random is not nil, part of them survives: each name
// change independently of the others, and of the unsynced data of each file a prefix, in
// which a range may read as zeros. Files opened before the crash fail from then on. Locks
// are released and injected errors are cleared.
func (f *FS) Crash(random *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if random != nil {
		for _, change := range f.unsyncedChanges {
			if random.IntN(2) == 0 {
				change(f.durableFiles)
			}
		}
	}
	f.files = map[string]*inode{}
	for _, name := range sortedNames(f.durableFiles) {
		f.files[name] = f.durableFiles[name].afterCrash(random)
	}
	f.durableFiles = cloneNames(f.files)
	f.unsyncedChanges = nil
	f.locks = map[string]bool{}
	f.openFiles = 0
	f.faults = map[int]fault{}
	f.fatalErr = nil
	f.crashCount++
}

// afterCrash returns what a crash leaves of the file.
func (n *inode) afterCrash(random *rand.Rand) *inode {
	data := slices.Clone(n.data[:n.syncedBytes])
	if random != nil {
		torn := slices.Clone(n.data[n.syncedBytes:])
		torn = torn[:random.IntN(len(torn)+1)]
		if len(torn) > 0 && random.IntN(2) == 0 {
			from := random.IntN(len(torn))
			clear(torn[from : from+1+random.IntN(len(torn)-from)])
		}
		data = append(data, torn...)
	}
	return &inode{data: data, syncedBytes: len(data)}
}

// Wipe crashes the file system and removes every file, like the replacement of a disk.
func (f *FS) Wipe() {
	f.Crash(nil)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files = map[string]*inode{}
	f.durableFiles = map[string]*inode{}
}

// Put durably replaces the contents of a file, or creates it.
func (f *FS) Put(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{data: slices.Clone(data), syncedBytes: len(data)}
	f.files[name] = n
	f.durableFiles[name] = n
}

// Names returns the paths of all files, sorted.
func (f *FS) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sortedNames(f.files)
}

// beginOp counts a changing operation and returns its injected error, if any. The caller
// holds mu.
func (f *FS) beginOp() error {
	op := f.opCount
	f.opCount++
	if f.fatalErr != nil {
		return f.fatalErr
	}
	injected := f.faults[op]
	if injected.lasts {
		f.fatalErr = injected.err
	}
	return injected.err
}

// changeNames applies a change to the names that the process sees. The change becomes
// durable with the next SyncDir.
func (f *FS) changeNames(apply func(map[string]*inode)) {
	apply(f.files)
	f.unsyncedChanges = append(f.unsyncedChanges, apply)
}

// MkdirAll implements storage.FS.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements storage.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range sortedNames(f.files) {
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
	n, ok := f.files[name]
	if !ok {
		return nil, errors.Wrapf(fs.ErrNotExist, "%s", name)
	}
	return slices.Clone(n.data), nil
}

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	if _, exists := f.files[name]; !exists && f.fullErr != nil && f.used() >= f.capacity {
		return nil, f.fullErr
	}
	n := &inode{}
	f.changeNames(func(names map[string]*inode) { names[name] = n })
	return f.open(n), nil
}

// open returns an open file. The caller holds mu.
func (f *FS) open(n *inode) *file {
	f.openFiles++
	return &file{fs: f, inode: n, crashCount: f.crashCount}
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return nil, err
	}
	n, ok := f.files[name]
	if !ok {
		return nil, errors.Wrapf(fs.ErrNotExist, "%s", name)
	}
	return f.open(n), nil
}

// Rename implements storage.FS.
func (f *FS) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	n, ok := f.files[oldName]
	if !ok {
		return errors.Wrapf(fs.ErrNotExist, "%s", oldName)
	}
	f.changeNames(func(names map[string]*inode) {
		delete(names, oldName)
		names[newName] = n
	})
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	f.changeNames(func(names map[string]*inode) { delete(names, name) })
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	f.syncCount++
	f.durableFiles = cloneNames(f.files)
	f.unsyncedChanges = nil
	return nil
}

// Lock implements storage.FS.
func (f *FS) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] {
		return nil, errors.Wrapf(storage.ErrLocked, "%s", name)
	}
	f.locks[name] = true
	return &lock{fs: f, name: name, crashCount: f.crashCount}, nil
}

// lock releases a file's lock when it is closed.
type lock struct {
	fs         *FS
	name       string
	crashCount int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.crashCount == l.fs.crashCount {
		delete(l.fs.locks, l.name)
	}
	return nil
}

// file is an open file.
type file struct {
	fs         *FS
	inode      *inode
	crashCount int
	closed     bool
}

// beginOp counts a changing operation on an open file. It fails if the file system
// crashed since the file was opened. The caller holds the mu of the file system.
func (f *file) beginOp() error {
	if f.crashCount != f.fs.crashCount {
		return errDied
	}
	return f.fs.beginOp()
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.beginOp(); err != nil {
		half := len(p) / 2
		if f.crashCount == f.fs.crashCount {
			f.inode.write(p[:half])
		}
		return half, err
	}
	fits := len(p)
	if f.fs.fullErr != nil {
		fits = max(0, min(fits, f.fs.capacity-f.fs.used()))
	}
	f.inode.write(p[:fits])
	if fits < len(p) {
		return fits, f.fs.fullErr
	}
	return fits, nil
}

func (f *file) Sync() error {
	time.Sleep(f.fs.delay())
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.beginOp(); err != nil {
		return err
	}
	f.fs.syncCount++
	f.inode.syncedBytes, f.inode.writeEnds = len(f.inode.data), nil
	return nil
}

func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if !f.closed && f.crashCount == f.fs.crashCount {
		f.fs.openFiles--
	}
	f.closed = true
	return nil
}

func sortedNames(names map[string]*inode) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.SortFunc(sorted, strings.Compare)
	return sorted
}

func cloneNames(names map[string]*inode) map[string]*inode {
	clone := make(map[string]*inode, len(names))
	for name, n := range names {
		clone[name] = n
	}
	return clone
}
