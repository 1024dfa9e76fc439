package disk

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// file is a file that is open for writing.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// directoryFS provides the file operations of one flat directory.
type directoryFS interface {
	// List returns the names of all files in the directory.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create creates an empty file, or truncates the existing one.
	Create(name string) (file, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// osDirectory is a directory of the operating system.
type osDirectory struct{ path string }

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

func (d osDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (d osDirectory) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

func (d osDirectory) Create(name string) (file, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC)
}

func (d osDirectory) Append(name string) (file, error) {
	return d.open(name, os.O_APPEND)
}

func (d osDirectory) open(name string, flags int) (file, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_WRONLY|flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return fdatasyncFile{f}, nil
}

func (d osDirectory) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d osDirectory) Remove(name string) error {
	return os.Remove(filepath.Join(d.path, name))
}

func (d osDirectory) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// fdatasyncFile is a file that Sync flushes with fdatasync: data and size, but no
// timestamps.
type fdatasyncFile struct{ *os.File }

// Sync implements file.
func (f fdatasyncFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// createDirectory creates path and makes its entry in the parent directory durable.
func createDirectory(path string) error {
	if err := os.MkdirAll(path, dirPermissions); err != nil {
		return err
	}
	return osDirectory{filepath.Dir(path)}.Sync()
}

const lockName = "lock"

// lockDirectory locks the directory against other processes until the returned file
// is closed.
func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, ErrIO.Wrap(err, "could not open the lock file of directory %q", path)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, ErrInUse.Wrap(err, "directory %q is locked by another process", path)
	}
	return f, nil
}
