package ctl

import (
	"context"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
	"fulmarmount.org/fulmarmount/internal/fleetfile"
)

// change holds the flags of commands that change the configuration.
type change struct {
	requestID string
	expect    string
	comment   string
	wait      bool
}

// check refuses a resend that could differ from its first try.
func (c *change) check() error {
	if c.requestID != "" && c.expect == "" {
		return errUsage.New("--request-id needs --expect, so that the resend equals the first try")
	}
	return nil
}

// changeFlags returns the flags of a command that fills c.
func (a *app) changeFlags(name string, c *change) *ff.FlagSet {
	flags := a.flagSet(name)
	flags.StringVar(&c.requestID, 0, "request-id", "", "ID of an earlier try whose answer was lost; needs --expect")
	flags.StringVar(&c.expect, 'e', "expect", "", "version that must be in force; by default the one in force at the start")
	flags.StringVar(&c.comment, 'm', "comment", "", "remark for the history")
	flags.BoolVar(&c.wait, 'w', "wait", "wait until the change is in force on every daemon")
	return flags
}

func (a *app) applyCommand() *ff.Command {
	c := &change{}
	return &ff.Command{
		Name:      "apply",
		Usage:     "fulmarctl apply [FLAGS] FILE",
		ShortHelp: "put a fleet file in force",
		Flags:     a.changeFlags("apply", c),
		Exec: a.connected(1, func(ctx context.Context, client *admin.Client, args []string) error {
			document, err := fleetfile.Load(args[0])
			if err != nil {
				return err
			}
			return a.run(ctx, client, c, fleet.Command{Kind: fleet.KindApply, Document: document})
		}),
	}
}

func (a *app) patchCommand() *ff.Command {
	c := &change{}
	flags := a.changeFlags("patch", c)
	deleted := flags.StringSet('d', "delete", "section to delete, such as service.NAME; may be given several times")
	return &ff.Command{
		Name:      "patch",
		Usage:     "fulmarctl patch [FLAGS] [FILE]",
		ShortHelp: "add, replace or delete single sections",
		LongHelp: "The file holds only what changes: whole services and exceptions, and single defaults.\n" +
			"It conflicts only with changes of the same sections since the expected version.",
		Flags: flags,
		Exec: func(ctx context.Context, args []string) error {
			return a.connected(len(args), func(ctx context.Context, client *admin.Client, _ []string) error {
				return a.patch(ctx, client, c, args, *deleted)
			})(ctx, args)
		},
	}
}

func (a *app) patch(ctx context.Context, client *admin.Client, c *change, files, deleted []string) error {
	if len(files) > 1 || len(files)+len(deleted) == 0 {
		return errUsage.New("one file, or --delete, is needed; see --help")
	}
	var name string
	var data []byte
	if len(files) == 1 {
		var err error
		name = files[0]
		if data, err = os.ReadFile(name); err != nil {
			return errRefused.New("%s", err)
		}
	}
	if err := c.check(); err != nil {
		return err
	}
	current, err := a.document(ctx, client, c.expect)
	if err != nil {
		return err
	}
	c.expect = strconv.FormatUint(current.Version, 10)
	patch, err := fleetfile.ParsePatch(name, data, deleted, current.Document)
	if err != nil {
		return err
	}
	return a.run(ctx, client, c, fleet.Command{Kind: fleet.KindPatch, Patch: patch})
}

func (a *app) rollbackCommand() *ff.Command {
	c := &change{}
	flags := a.changeFlags("rollback", c)
	to := flags.StringLong("to", "", "version to return to")
	return &ff.Command{
		Name:      "rollback",
		Usage:     "fulmarctl rollback [FLAGS] --to VERSION",
		ShortHelp: "make a new version that equals an earlier one",
		Flags:     flags,
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			version, err := parseVersion(*to)
			if err != nil {
				return err
			}
			return a.run(ctx, client, c, fleet.Command{Kind: fleet.KindRollback, RollbackVersion: version})
		}),
	}
}

// run sends the command and prints its result.
func (a *app) run(ctx context.Context, client *admin.Client, c *change, command fleet.Command) error {
	if err := c.check(); err != nil {
		return err
	}
	if err := a.expect(ctx, client, c, &command); err != nil {
		return err
	}
	command.Comment = c.comment
	result, err := a.propose(ctx, client, c.requestID, command)
	if err != nil {
		return err
	}
	a.out("version %d is accepted", result.Version)
	if !c.wait {
		return nil
	}
	return a.wait(ctx, client, result.Revision)
}

func (a *app) expect(ctx context.Context, client *admin.Client, c *change, command *fleet.Command) error {
	if c.expect != "" {
		var err error
		command.ExpectedVersion, err = parseVersion(c.expect)
		return err
	}
	current, err := client.Current(ctx)
	command.ExpectedVersion = current.Version
	return err
}

// propose sends a command, with a new request ID where none is given, and
// makes an error of every outcome but acceptance.
func (a *app) propose(ctx context.Context, client *admin.Client, requestID string, command fleet.Command) (fleet.Result, error) {
	command.RequestID = requestID
	if requestID == "" {
		command.RequestID = a.NewID()
	}
	command.Author = author()
	result, err := client.Propose(ctx, command)
	if err != nil {
		return result, errRefused.New("%s\nthe command may still take effect; repeat it with --request-id %s --expect %d to learn its result",
			err, command.RequestID, expected(command))
	}
	switch result.Outcome {
	case fleet.OutcomeAccepted:
		return result, nil
	case fleet.OutcomeConflict:
		return result, conflict(command, result)
	case fleet.OutcomeRequestIDReused:
		return result, errRefused.New("request ID %q was used for another command", command.RequestID)
	case fleet.OutcomeNotFound:
		return result, errRefused.New("%s: there is no such version or drain", command.Kind)
	default:
		return result, errRefused.New("%s is invalid:\n%s", command.Kind, problemLines(result.Problems))
	}
}

// expected returns the number that a repetition of the command has to expect.
func expected(command fleet.Command) uint64 {
	if isZoneChange(command.Kind) {
		return command.ExpectedRevision
	}
	return command.ExpectedVersion
}

func conflict(command fleet.Command, result fleet.Result) error {
	if isZoneChange(command.Kind) {
		return errConflict.New("the evacuations have changed since revision %d; see zone list", command.ExpectedRevision)
	}
	return errConflict.New("expected version %d, but version %d is in force", command.ExpectedVersion, result.Version)
}

func problemLines(problems []fleet.Problem) string {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// waitInterval is the pause between two looks at the progress.
const waitInterval = 100 * time.Millisecond

// wait returns once revision is in force everywhere, or names the daemons
// that lack it when ctx ends.
func (a *app) wait(ctx context.Context, client *admin.Client, revision uint64) error {
	var last admin.Progress
	for {
		progress, err := client.Progress(ctx, revision)
		if err == nil {
			last = progress
		}
		if err == nil && last.Whole() {
			a.out("in force on %d of %d daemons", last.InForce, last.Daemons)
			return nil
		}
		select {
		case <-ctx.Done():
			if !last.Known() {
				return errRefused.New("cannot tell where it is in force: %s", err)
			}
			return errRefused.New("in force on %d of %d daemons, not on: %s", last.InForce, last.Daemons, missing(last))
		case <-time.After(waitInterval):
		}
	}
}

func missing(p admin.Progress) string {
	names := make([]string, len(p.Missing))
	for i, d := range p.Missing {
		names[i] = d.Name
	}
	if more := p.Daemons - p.InForce - len(names); more > 0 {
		names = append(names, strconv.Itoa(more)+" more")
	}
	return strings.Join(names, ", ")
}

func (a *app) getCommand() *ff.Command {
	flags := a.flagSet("get")
	version := flags.StringLong("version", "", "version to print; by default the one in force")
	return &ff.Command{
		Name:      "get",
		Usage:     "fulmarctl get [--version N]",
		ShortHelp: "print the fleet file in force, or an earlier one",
		Flags:     flags,
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			document, err := a.document(ctx, client, *version)
			if err != nil {
				return err
			}
			a.out("# version %d\n%s", document.Version, fleetfile.Format(document.Document))
			return nil
		}),
	}
}

func (a *app) document(ctx context.Context, client *admin.Client, text string) (admin.Document, error) {
	if text == "" {
		return client.Current(ctx)
	}
	version, err := parseVersion(text)
	if err != nil {
		return admin.Document{}, err
	}
	return client.At(ctx, version)
}

func (a *app) historyCommand() *ff.Command {
	return &ff.Command{
		Name:      "history",
		Usage:     "fulmarctl history",
		ShortHelp: "list the versions that are kept",
		Flags:     a.flagSet("history"),
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			entries, err := client.History(ctx)
			if err != nil {
				return err
			}
			rows := [][]string{{"VERSION", "TIME", "AUTHOR", "KIND", "COMMENT"}}
			for _, e := range entries {
				rows = append(rows, []string{
					strconv.FormatUint(e.Version, 10), e.ProposedAt.Format(time.RFC3339), e.Author, e.Kind.String(), e.Comment,
				})
			}
			return a.table(rows)
		}),
	}
}

func (a *app) diffCommand() *ff.Command {
	return &ff.Command{
		Name:      "diff",
		Usage:     "fulmarctl diff FROM TO",
		ShortHelp: "print what changed between two versions",
		Flags:     a.flagSet("diff"),
		Exec: a.connected(2, func(ctx context.Context, client *admin.Client, args []string) error {
			var documents [2]*fleet.Document
			for i, arg := range args {
				version, err := parseVersion(arg)
				if err != nil {
					return err
				}
				document, err := client.At(ctx, version)
				if err != nil {
					return err
				}
				documents[i] = document.Document
			}
			for _, line := range fleetfile.Diff(documents[0], documents[1]) {
				a.out("%s", line)
			}
			return nil
		}),
	}
}

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errUsage.New("%q is not a version", text)
	}
	return version, nil
}

// table prints rows in aligned columns.
func (a *app) table(rows [][]string) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := w.Write([]byte(strings.Join(row, "\t") + "\n")); err != nil {
			return err
		}
	}
	return w.Flush()
}
