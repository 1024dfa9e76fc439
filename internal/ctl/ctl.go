// Package ctl is the operators' command line.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/finding"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// envPrefix starts the environment variables that set flags.
const envPrefix = "FULMARCTL"

const (
	defaultSocket  = "/run/fulmarmount/admin.sock"
	defaultTimeout = 30 * time.Second
)

var namespace = errorx.NewNamespace("ctl")

var (
	errUsage    = namespace.NewType("usage").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	errRefused  = namespace.NewType("refused").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	errConflict = errRefused.NewSubtype("conflict")
)

// Options are what the command line is made of.
type Options struct {
	Args           []string
	Stdout, Stderr io.Writer
	// Now is the clock.
	Now func() time.Time
	// NewID returns a unique request ID.
	NewID func() string
}

// app is one run of the command line.
type app struct {
	Options
	flags   *ff.FlagSet
	socket  string
	remotes []string
	ca      string
	cert    string
	key     string
	timeout time.Duration
}

// Run executes the command line and returns its exit code.
func Run(ctx context.Context, o Options) int {
	a := &app{Options: o, flags: ff.NewFlagSet("fulmarctl")}
	root := a.root()
	err := root.Parse(o.Args, ff.WithEnvVarPrefix(envPrefix))
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, a.timeout)
		defer cancel()
		err = root.Run(ctx)
	}
	return a.report(root, err)
}

func (a *app) root() *ff.Command {
	a.flags.StringVar(&a.socket, 's', "socket", defaultSocket, "unix socket of a local process")
	a.flags.StringListVar(&a.remotes, 'r', "remote", "address of a control process, instead of the socket; may be given several times")
	a.flags.StringVar(&a.ca, 0, "ca", "", "certificate of the authority, for --remote")
	a.flags.StringVar(&a.cert, 0, "cert", "", "certificate of the operator, for --remote")
	a.flags.StringVar(&a.key, 0, "key", "", "key of the operator, for --remote")
	a.flags.DurationVar(&a.timeout, 't', "timeout", defaultTimeout, "longest time for the command")
	return &ff.Command{
		Name:      "fulmarctl",
		Usage:     "fulmarctl [FLAGS] COMMAND ...",
		ShortHelp: "operate a fulmarmount fleet",
		LongHelp: "Flags may also be set by environment variables such as FULMARCTL_SOCKET.\n" +
			"Exit code: 0 done, 1 failed or refused, 2 wrong usage, 3 conflict of versions.",
		Flags: a.flags,
		Subcommands: []*ff.Command{
			a.checkCommand(), a.explainCommand(),
			a.applyCommand(), a.patchCommand(), a.getCommand(), a.historyCommand(), a.diffCommand(), a.rollbackCommand(),
			a.drainCommand(), a.zoneCommand(), a.statusCommand(), a.dumpCommand(), a.replicaCommand(),
			a.keysCommand(),
		},
	}
}

// report prints what went wrong and returns the exit code.
func (a *app) report(root *ff.Command, err error) int {
	selected := root.GetSelected()
	if selected == nil {
		selected = root
	}
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrHelp):
		a.print(a.Stdout, "%s", ffhelp.Command(selected))
		return exitOK
	case errors.Is(err, ff.ErrNoExec):
		a.print(a.Stderr, "%s", ffhelp.Command(selected))
		return exitUsage
	case len(finding.Of(err)) > 0:
		a.print(a.Stderr, "%s", finding.Report(finding.Of(err)))
		return exitFailed
	}
	a.print(a.Stderr, "fulmarctl: %s", text(err))
	switch {
	case errorx.IsOfType(err, errConflict):
		return exitConflict
	case errorx.IsOfType(err, errUsage) || errorx.Cast(err) == nil:
		return exitUsage
	}
	return exitFailed
}

// text returns the message of err without its type where the type says
// nothing to operators.
func text(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.IsOfType(errRefused) || errorx.IsOfType(err, errUsage) {
		return errorx.Cast(err).Message()
	}
	return err.Error()
}

// print writes one line. Where even that fails nothing is left to say it with.
func (a *app) print(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintln(w, strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

func (a *app) out(format string, args ...any) { a.print(a.Stdout, format, args...) }

// flagSet returns the flags of a subcommand, beside those of the root.
func (a *app) flagSet(name string) *ff.FlagSet {
	return ff.NewFlagSet(name).SetParent(a.flags)
}

// client connects as the flags say.
func (a *app) client() (*admin.Client, error) {
	o := admin.ClientOptions{Socket: a.socket, Remotes: a.remotes}
	if len(a.remotes) > 0 {
		if a.ca == "" || a.cert == "" || a.key == "" {
			return nil, errUsage.New("--remote needs --ca, --cert and --key")
		}
		identity, err := keys.Load(a.ca, a.cert, a.key)
		if err != nil {
			return nil, err
		}
		o.Identity = identity
	}
	return admin.NewClient(o), nil
}

// connected wraps a command that takes want arguments and needs a client.
func (a *app) connected(want int, run func(context.Context, *admin.Client, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := wantArgs(args, want); err != nil {
			return err
		}
		c, err := a.client()
		if err != nil {
			return err
		}
		defer c.Close()
		return run(ctx, c, args)
	}
}

func wantArgs(args []string, want int) error {
	if len(args) != want {
		return errUsage.New("%d arguments given, %d needed; see --help", len(args), want)
	}
	return nil
}

// author is who the history names for commands over the socket.
func author() string {
	for _, name := range []string{"SUDO_USER", "USER", "LOGNAME"} {
		if user := os.Getenv(name); user != "" {
			return user
		}
	}
	return fmt.Sprintf("uid %d", os.Getuid())
}
