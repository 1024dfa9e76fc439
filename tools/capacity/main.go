// Capacity measures how costs grow with the size of a fleet, in one process,
// and works out from that what each role needs at the target size. It rewrites
// the figures in docs/CAPACITY.md and the plots beside it.
//
//	go run ./tools/capacity            # measure everything
//	go run ./tools/capacity -only ID   # measure the series ID again
//	go run ./tools/capacity -render    # measure nothing
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
)

// benchTime is how long one operation is timed.
const benchTime = "200ms"

func main() {
	page := flag.String("page", "docs/CAPACITY.md", "page to rewrite")
	figures := flag.String("figures", "docs/figures", "folder of the figures and plots")
	only := flag.String("only", "", "measure the series of this ID and those measured with it")
	render := flag.Bool("render", false, "measure nothing, rewrite the page from the figures")
	testing.Init()
	flag.Parse()
	must(flag.Set("test.benchtime", benchTime))
	if err := run(*page, *figures, *only, *render); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(page, folder, only string, render bool) error {
	file := filepath.Join(folder, "capacity.json")
	f, err := load(file)
	if err != nil {
		return err
	}
	if !render {
		f.Machine = fmt.Sprintf("%s, %s/%s, %d CPUs", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
		measure(&f, only)
	}
	if err := save(file, f); err != nil {
		return err
	}
	for _, s := range f.Series {
		if err := plotSeries(filepath.Join(folder, s.ID+".svg"), s); err != nil {
			return err
		}
	}
	return rewrite(page, f)
}

func measure(f *Figures, only string) {
	for _, m := range measurements() {
		if only != "" && !slices.Contains(m.ids, only) {
			continue
		}
		for _, s := range m.run() {
			_, slope := s.Slope()
			fmt.Printf("%-16s %v slope %.4g\n", s.ID, s.Points, slope)
			f.Set(s)
		}
	}
}

func load(file string) (Figures, error) {
	var f Figures
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return f, err
	}
	return f, json.Unmarshal(b, &f)
}

func save(file string, f Figures) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	b, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}
