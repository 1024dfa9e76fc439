package disk

import (
	"errors"
	"maps"
	"os"
	"slices"
)

var errInjected = errors.New("injected")

// inode is the content of a fake file and the part of it that was synced.
// After a failed sync the kernel may hold for clean what it has dropped.
type inode struct {
	data, synced []byte
	dropped      bool
}

// memFolder is a folder that fails from its failAt-th operation on, and loses
// on crash what was not synced.
type memFolder struct {
	names, durable map[string]*inode
	operations     int
	failAt         int // 0 never fails
	failOnce       bool
}

func newMemFolder() *memFolder {
	return &memFolder{names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (d *memFolder) operate() error {
	d.operations++
	if d.failAt > 0 && (d.operations == d.failAt || d.operations > d.failAt && !d.failOnce) {
		return errInjected
	}
	return nil
}

// crash returns the folder as the next start finds it: of unsynced data the
// first tail bytes arrived, of unsynced names none but those in kept. Each name that
// was created, renamed or removed is kept or lost by itself.
func (d *memFolder) crash(tail int, keptNames ...string) *memFolder {
	found := maps.Clone(d.durable)
	for _, name := range keptNames {
		delete(found, name)
		if i, there := d.names[name]; there {
			found[name] = i
		}
	}
	next := newMemFolder()
	for name, i := range found {
		kept := slices.Clone(i.synced)
		if len(i.data) > len(kept) {
			kept = append(kept, i.data[len(kept):min(len(i.data), len(kept)+tail)]...)
		}
		next.names[name] = &inode{data: kept, synced: slices.Clone(kept)}
	}
	next.durable = maps.Clone(next.names)
	return next
}

// unsynced returns the names that a crash may keep or lose.
func (d *memFolder) unsynced() []string {
	var out []string
	for name, i := range d.names {
		if d.durable[name] != i {
			out = append(out, name)
		}
	}
	for name := range d.durable {
		if _, there := d.names[name]; !there {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// subsets returns every choice of names.
func subsets(names []string) [][]string {
	all := [][]string{nil}
	for _, name := range names {
		for _, chosen := range all {
			all = append(all, append(slices.Clone(chosen), name))
		}
	}
	return all
}

func (d *memFolder) List() ([]string, error) {
	return slices.Sorted(maps.Keys(d.names)), d.operate()
}

func (d *memFolder) Read(name string) ([]byte, error) {
	i, ok := d.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(i.data), d.operate()
}

func (d *memFolder) Create(name string) (file, error) {
	d.names[name] = &inode{}
	return &memFile{d, d.names[name]}, d.operate()
}

func (d *memFolder) Append(name string) (file, error) {
	i, ok := d.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return &memFile{d, i}, d.operate()
}

func (d *memFolder) Rename(from, to string) error {
	if err := d.operate(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memFolder) Remove(name string) error {
	delete(d.names, name)
	return d.operate()
}

func (d *memFolder) Sync() error {
	if err := d.operate(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	return nil
}

type memFile struct {
	folder *memFolder
	inode  *inode
}

func (f *memFile) Write(b []byte) (int, error) {
	if err := f.folder.operate(); err != nil {
		f.inode.data = append(f.inode.data, b[:len(b)/2]...) // a full disk takes a part
		return len(b) / 2, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

func (f *memFile) Sync() error {
	if err := f.folder.operate(); err != nil {
		f.inode.dropped = true
		return err
	}
	if f.inode.dropped {
		return nil
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.inode.data = f.inode.data[:size]
	return f.folder.operate()
}

func (f *memFile) Close() error { return nil }
