package ctl

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/fulmarmount/internal/explain"
)

// explainFlags are the flags of explain.
type explainFlags struct {
	caller   string
	from, to string
	around   time.Duration
	summary  bool
}

func (a *app) explainCommand() *ff.Command {
	var f explainFlags
	flags := a.flagSet("explain")
	flags.StringVar(&f.caller, 0, "flow", "", "address:port of the caller's end of a flow, or the address alone for all its flows")
	flags.StringVar(&f.from, 0, "from", "", "time of the first line (RFC 3339)")
	flags.StringVar(&f.to, 0, "to", "", "time of the last line (RFC 3339)")
	flags.DurationVar(&f.around, 0, "around", time.Second, "time before and after a flow in which beliefs are shown")
	flags.BoolVar(&f.summary, 0, "summary", "count lines by their text and reason instead")
	return &ff.Command{
		Name:      "explain",
		Usage:     "fulmarctl explain [FLAGS] FILE...",
		ShortHelp: "merge the logs of several processes into the decisions about a flow or a time, offline",
		LongHelp: "A file holds the log of one VM and is named after it, or of several, each line with the\n" +
			"VM's name before it. Lines are ordered by the times that the processes wrote; clocks of\n" +
			"VMs may differ.",
		Flags: flags,
		Exec:  func(_ context.Context, files []string) error { return a.explain(f, files) },
	}
}

func (a *app) explain(f explainFlags, files []string) error {
	if len(files) == 0 {
		return errUsage.New("no file given; see --help")
	}
	query, err := f.query()
	if err != nil {
		return err
	}
	var lines []explain.Line
	skipped := 0
	for _, file := range files {
		log, err := readLog(file)
		if err != nil {
			return err
		}
		lines, skipped = append(lines, log.Lines...), skipped+log.Skipped
	}
	chosen := explain.Select(lines, query)
	if f.summary {
		for _, c := range explain.Summary(chosen) {
			a.out("%8d  %s %s", c.Lines, c.Text, c.Reason)
		}
	} else {
		for _, l := range chosen {
			a.out("%s", l)
		}
	}
	a.print(a.Stderr, "%d of %d lines; %d others are not of fulmarmount", len(chosen), len(lines), skipped)
	return nil
}

func (f explainFlags) query() (explain.Query, error) {
	q := explain.Query{Caller: f.caller, Around: f.around}
	var err error
	if q.From, err = parseTime(f.from); err != nil {
		return q, err
	}
	q.To, err = parseTime(f.to)
	return q, err
}

// parseTime reads a time; an empty text is none.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, errUsage.New("%q is not a time such as 2026-03-01T01:00:04.5Z", text)
	}
	return at, nil
}

// readLog reads the log of a VM, which the file is named after.
func readLog(path string) (explain.Log, error) {
	file, err := os.Open(path)
	if err != nil {
		return explain.Log{}, err
	}
	defer func() { _ = file.Close() }() // it was read
	name := filepath.Base(path)
	return explain.Read(file, strings.TrimSuffix(name, filepath.Ext(name)))
}
