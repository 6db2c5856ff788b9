package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FS is the part of a file system that a Store uses. Paths are those of the
// data folder joined with a file name.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// ReadDir lists the names of the files in a folder, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the contents of a file, or an error that satisfies
	// errors.Is(err, fs.ErrNotExist).
	ReadFile(name string) ([]byte, error)
	// Create opens a file for writing, empty.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock that ends with the process, or returns
	// ErrLocked.
	Lock(name string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.Writer
	io.Closer
	// Sync makes what was written durable.
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the file system of the operating system.
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
