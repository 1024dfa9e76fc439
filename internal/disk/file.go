package disk

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// file is an open file that can be made durable.
type file interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// folder is the port to the file system: one flat folder.
type folder interface {
	// List returns the names of all files.
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes an empty file, replacing one of that name.
	Create(name string) (file, error)
	// Append opens a file for writing at its end.
	Append(name string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes creations, renames and removals durable.
	Sync() error
}

// osFolder is a folder of the operating system.
type osFolder struct{ path string }

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

func (d osFolder) List() ([]string, error) {
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

func (d osFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

func (d osFolder) Create(name string) (file, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC)
}

func (d osFolder) Append(name string) (file, error) {
	return d.open(name, os.O_APPEND)
}

func (d osFolder) open(name string, flags int) (file, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_WRONLY|flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return dataFile{f}, nil
}

func (d osFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d osFolder) Remove(name string) error {
	return os.Remove(filepath.Join(d.path, name))
}

func (d osFolder) Sync() error {
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

// dataFile syncs data and size but no timestamps.
type dataFile struct{ *os.File }

// Sync implements file.
func (f dataFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			return err
		}
	}
}

// makeFolder makes path and its entry in the parent durable.
func makeFolder(path string) error {
	if err := os.MkdirAll(path, folderPermissions); err != nil {
		return err
	}
	return osFolder{filepath.Dir(path)}.Sync()
}

const lockName = "lock"

// lockFolder keeps other processes out until the returned file is closed.
func lockFolder(path string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, Failed.Wrap(err, "folder %q cannot be locked", path)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, InUse.Wrap(err, "folder %q is open in another process", path)
	}
	return f, nil
}
