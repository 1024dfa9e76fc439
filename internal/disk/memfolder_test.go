package disk

import (
	"errors"
	"maps"
	"os"
	"slices"
)

var errInjected = errors.New("injected")

// inode is the content of a fake file and the synced part of it. After a failed sync,
// isFalselyClean makes later syncs succeed without effect, as a kernel does that
// marks pages as clean which it failed to write.
type inode struct {
	data, synced   []byte
	isFalselyClean bool
}

// memDirectory is a fake directory whose operations fail from the failAt-th on, or with
// failOnce only that one. A crash loses unsynced data and names.
type memDirectory struct {
	files, durableFiles map[string]*inode
	operations          int
	failAt              int // 0 never fails
	failOnce            bool
}

func newMemDirectory() *memDirectory {
	return &memDirectory{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

func (d *memDirectory) countOperation() error {
	d.operations++
	if d.failAt > 0 && (d.operations == d.failAt || d.operations > d.failAt && !d.failOnce) {
		return errInjected
	}
	return nil
}

// crash returns the directory as the next start finds it: each file keeps its synced
// data and the first unsyncedBytes of the rest; of the unsynced changes of names, only
// those of durableNames are on disk. Each creation, rename target and removal is
// durable or lost independently.
func (d *memDirectory) crash(unsyncedBytes int, durableNames ...string) *memDirectory {
	remaining := maps.Clone(d.durableFiles)
	for _, name := range durableNames {
		delete(remaining, name)
		if i, there := d.files[name]; there {
			remaining[name] = i
		}
	}
	crashed := newMemDirectory()
	for name, i := range remaining {
		survivingData := slices.Clone(i.synced)
		if len(i.data) > len(survivingData) {
			survivingData = append(survivingData, i.data[len(survivingData):min(len(i.data), len(survivingData)+unsyncedBytes)]...)
		}
		crashed.files[name] = &inode{data: survivingData, synced: slices.Clone(survivingData)}
	}
	crashed.durableFiles = maps.Clone(crashed.files)
	return crashed
}

// unsyncedNames returns the names whose last change a crash may lose.
func (d *memDirectory) unsyncedNames() []string {
	var out []string
	for name, i := range d.files {
		if d.durableFiles[name] != i {
			out = append(out, name)
		}
	}
	for name := range d.durableFiles {
		if _, there := d.files[name]; !there {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// subsets returns all subsets of names.
func subsets(names []string) [][]string {
	all := [][]string{nil}
	for _, name := range names {
		for _, chosen := range all {
			all = append(all, append(slices.Clone(chosen), name))
		}
	}
	return all
}

func (d *memDirectory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.files)), d.countOperation()
}

func (d *memDirectory) Read(name string) ([]byte, error) {
	i, ok := d.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(i.data), d.countOperation()
}

func (d *memDirectory) Create(name string) (file, error) {
	d.files[name] = &inode{}
	return &memFile{d, d.files[name]}, d.countOperation()
}

func (d *memDirectory) Append(name string) (file, error) {
	i, ok := d.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &memFile{d, i}, d.countOperation()
}

func (d *memDirectory) Rename(from, to string) error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memDirectory) Remove(name string) error {
	delete(d.files, name)
	return d.countOperation()
}

func (d *memDirectory) Sync() error {
	if err := d.countOperation(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	return nil
}

type memFile struct {
	directory *memDirectory
	inode     *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.directory.countOperation(); err != nil {
		f.inode.data = append(f.inode.data, b[:len(b)/2]...) // a full disk accepts a part
		return len(b) / 2, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if err := f.directory.countOperation(); err != nil {
		f.inode.isFalselyClean = true
		return err
	}
	if f.inode.isFalselyClean {
		return nil
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.inode.data = f.inode.data[:size]
	return f.directory.countOperation()
}

func (f *memFile) Close() error { return nil }
