package ctl

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/fulmarmount/internal/finding"
	"fulmarmount.org/fulmarmount/internal/fleetfile"
	"fulmarmount.org/fulmarmount/internal/inifile"
	"fulmarmount.org/fulmarmount/internal/settings"
)

func (a *app) checkCommand() *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "fulmarctl check FILE...",
		ShortHelp: "report every finding in settings and fleet files, offline",
		LongHelp: "A file with a section [process] is checked as the settings of a process, key files\n" +
			"included; any other as a fleet file. Nothing is changed and nothing is connected to.",
		Flags: a.flagSet("check"),
		Exec:  a.check,
	}
}

func (a *app) check(_ context.Context, files []string) error {
	if len(files) == 0 {
		return errUsage.New("no file given; see --help")
	}
	var found finding.Findings
	for _, file := range files {
		for _, f := range finding.Of(checkFile(file)) {
			found.Add(f)
		}
	}
	if err := found.Err(); err != nil {
		return err
	}
	a.out("%d files, no findings", len(files))
	return nil
}

func checkFile(path string) error {
	if isSettings(path) {
		_, err := settings.Load(path, "")
		return err
	}
	_, err := fleetfile.Load(path)
	return err
}

// isSettings tells the settings of a process from a fleet file.
func isSettings(path string) bool {
	data, err := os.ReadFile(path)
	if err != nil {
		return false
	}
	var ignored finding.Findings
	for _, s := range inifile.Parse(path, data, &ignored).Sections {
		if s.Name == "process" {
			return true
		}
	}
	return false
}
