package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS contains the file system operations that a Store uses. Each name is the path of
// a file: the data folder joined with the file's name. Each dir is the path of a
// folder.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a folder, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the contents of a file. If the file does not exist, the
	// error matches fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one, and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames oldName to newName and replaces an existing file.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes created, renamed and removed names in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock on a file, and creates the file if needed. The
	// lock ends when the returned Closer is closed or the process ends. If another
	// process holds the lock, the error matches ErrLocked.
	Lock(name string) (io.Closer, error)
}

// File is a file opened for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync makes all written data durable.
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS implements FS with the operating system's file system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(filepath.Clean(name)) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS with flock(2).
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		f.Close()
		return nil, errors.Wrapf(ErrLocked, "%s", name)
	}
	if err != nil {
		f.Close()
		return nil, errors.Wrapf(err, "lock %s", name)
	}
	return f, nil
}
