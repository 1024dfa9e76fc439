// Package keys makes and loads what processes prove themselves with: a
// certificate authority, one certificate for each VM that names the VM and the
// roles it may play, and the ring of secrets that authenticates packets.
package keys

import (
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("keys")

var (
	// ErrExists is returned rather than overwriting keys.
	ErrExists = namespace.NewType("exists", errorx.Duplicate())
	// ErrMalformed is the type for files that hold no usable keys.
	ErrMalformed = namespace.NewType("malformed")
	// ErrFile is the type for files that cannot be read or written.
	ErrFile = namespace.NewType("file")
	// ErrPeer is the type for peers that are refused.
	ErrPeer = namespace.NewType("peer")
)

// Modes of the files and the folder.
const (
	secretMode os.FileMode = 0o600
	publicMode os.FileMode = 0o644
	folderMode os.FileMode = 0o700
)

// writeFile replaces path by data in one step: after a crash the file holds
// either its old content or the new one.
func writeFile(path string, data []byte, mode os.FileMode) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".keys-*")
	if err != nil {
		return ErrFile.Wrap(err, "cannot write %q", path)
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	if err := fill(temp, data, mode); err != nil {
		return ErrFile.Wrap(err, "cannot write %q", path)
	}
	if err := os.Rename(temp.Name(), path); err != nil {
		return ErrFile.Wrap(err, "cannot write %q", path)
	}
	return syncFolder(filepath.Dir(path))
}

func fill(f *os.File, data []byte, mode os.FileMode) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return ErrFile.Wrap(err, "cannot sync %q", path)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return ErrFile.Wrap(err, "cannot sync %q", path)
	}
	return nil
}
