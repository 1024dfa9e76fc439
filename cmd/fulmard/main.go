// Command fulmard runs the roles of one fulmarmount process: balancer, agent,
// control, or several of them. Without a settings file it runs all roles with
// two stand-in services.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"fulmarmount.org/fulmarmount/internal/run"
	"fulmarmount.org/fulmarmount/platform"
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute returns the exit code of the process.
func execute(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, ff.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func command() *ff.Command {
	flags := ff.NewFlagSet("fulmard")
	config := flags.String('c', "config", "", "settings file of this process (INI); none runs the embedded default")
	base := flags.StringLong("base", "", "folder that relative paths in the settings are taken from; empty for the settings file's")
	spray := flags.IntLong("spray", 0, "number of balancers on this host that share the service addresses packet by packet")
	c := &ff.Command{
		Name:      "fulmard",
		Usage:     "fulmard [--config FILE]",
		ShortHelp: "run the roles of one fulmarmount process",
		Flags:     flags,
	}
	c.Exec = func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			fmt.Fprint(os.Stderr, ffhelp.Command(c))
			return fmt.Errorf("unexpected argument %q", args[0])
		}
		return run.Process(ctx, run.Options{Config: *config, Base: *base, Platform: platform.Platform{}, Spray: *spray, Output: os.Stdout})
	}
	return c
}
