// Soak runs a small fleet of real processes on loopback, disturbs it from outside by a
// schedule of faults that a seed stands for, and checks the promises of docs/PROMISES.md
// by what callers, backend servers and operators see.
//
//	go run ./tools/soak --seed 7 --seconds 40    # one seed
//	go run ./tools/soak --seeds 100-149          # the regressions, then each of these seeds
package main

import (
	"bufio"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"go.uber.org/zap"
)

// regressionText lists the seeds that ever failed, one per line, each with its cause.
//
//go:embed regressions.txt
var regressionText string

var errUsage = errs.NewType("usage")

// defaultSeconds is the length of a schedule.
const defaultSeconds = 30

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := execute(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// flags are what the command line chooses.
type flags struct {
	seed     *uint64
	seeds    *string
	seconds  *int
	slack    *float64
	printOut *bool
	verbose  *bool
}

func execute(ctx context.Context, args []string) error {
	set := ff.NewFlagSet("soak")
	f := flags{
		seed:     set.Uint64Long("seed", 0, "seed of the one schedule to play"),
		seeds:    set.StringLong("seeds", "", "FROM-TO: play these seeds, after those of regressions.txt"),
		seconds:  set.IntLong("seconds", defaultSeconds, "length of a schedule"),
		slack:    set.Float64Long("slack", 1, "factor that widens every bound, for slow machines"),
		printOut: set.BoolLong("print", "print the schedules and play nothing"),
		verbose:  set.Bool('v', "verbose", "log each fault when it begins"),
	}
	if err := ff.Parse(set, args); errors.Is(err, ff.ErrHelp) {
		fmt.Print(ffhelp.Flags(set))
		return nil
	} else if err != nil {
		return err
	}
	seeds, err := f.chosen()
	if err != nil {
		return err
	}
	var red []uint64
	for _, seed := range seeds {
		isClean, err := f.playOne(ctx, seed)
		if err != nil {
			return err
		}
		if !isClean {
			red = append(red, seed)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if len(red) > 0 {
		return errs.NewType("broken").New("%d of %d seeds broke a promise: %v", len(red), len(seeds), red)
	}
	return nil
}

// chosen returns the seeds to play.
func (f *flags) chosen() ([]uint64, error) {
	if *f.seeds == "" {
		return []uint64{*f.seed}, nil
	}
	var from, to uint64
	if _, err := fmt.Sscanf(*f.seeds, "%d-%d", &from, &to); err != nil || from > to {
		return nil, errUsage.New("%q is not FROM-TO", *f.seeds)
	}
	out := regressions(regressionText)
	for seed := from; seed <= to; seed++ {
		out = append(out, seed)
	}
	return out, nil
}

// regressions returns the seeds of a list: the first word of each line without a #.
func regressions(text string) (out []uint64) {
	lines := bufio.NewScanner(strings.NewReader(text))
	for lines.Scan() {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if seed, err := strconv.ParseUint(word, 10, 64); err == nil {
			out = append(out, seed)
		}
	}
	return out
}

// playOne plays a seed and prints the verdict, and all about a failure.
func (f *flags) playOne(ctx context.Context, seed uint64) (isClean bool, err error) {
	length := time.Duration(*f.seconds) * time.Second
	if *f.printOut {
		printSchedule(seed, length)
		return true, nil
	}
	root, err := os.Getwd()
	if err != nil {
		return false, err
	}
	folder, err := tempFolder(seed)
	if err != nil {
		return false, err
	}
	log := zap.NewNop()
	if *f.verbose {
		log, _ = zap.NewDevelopment() // its options are constants
	}
	o := options{root: root, folder: folder, seed: seed, length: length, slack: *f.slack, log: log}
	w, err := run(ctx, o)
	if err != nil {
		return false, err
	}
	report, err := writeReport(w, o)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %s; report %s\n", seed, w.verdict(), report)
	if len(w.violations) > 0 {
		printSchedule(seed, length)
		fmt.Printf("logs: %s/*.log\n", folder)
		printViolations(w.violations)
	}
	return len(w.violations) == 0, nil
}

func printSchedule(seed uint64, length time.Duration) {
	fmt.Printf("schedule of seed %d for %s:\n", seed, length)
	for _, f := range schedule(seed, length) {
		fmt.Println(" ", f)
	}
}

// shownOfEach is the number of printed violations of one promise; the report has all.
const shownOfEach = 5

func printViolations(violations []violation) {
	seen := map[string]int{}
	for _, v := range violations {
		if seen[v.promise]++; seen[v.promise] <= shownOfEach {
			fmt.Println("broken:", v)
		}
	}
	for promise, n := range seen {
		fmt.Printf("broken %d times: %s\n", n, promise)
	}
}

// verdict returns the result of a run in one line.
func (w *world) verdict() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := "clean"
	if len(w.violations) > 0 {
		text = fmt.Sprintf("%d broken promises", len(w.violations))
	}
	return fmt.Sprintf("%s; %d faults, %d attempts answered, %d requests run, %d flows, %d resets (%d of open flows of silent backend servers), %d evacuations in force, %d reads, %d stalls",
		text, len(w.faultRecord), w.counts["attempts "+string(done)], w.counts["requests run"], w.counts["flows"], w.counts["resets"],
		w.counts["resets of open flows of silent backend servers"], w.counts["evacuations in force"], w.counts["documents read back"], w.counts["stalls of the machine"])
}
