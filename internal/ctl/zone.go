package ctl

import (
	"context"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
)

func (a *app) zoneCommand() *ff.Command {
	return &ff.Command{
		Name:        "zone",
		Usage:       "fulmarctl zone COMMAND ...",
		ShortHelp:   "empty an availability zone, or take it back",
		Flags:       a.flagSet("zone"),
		Subcommands: []*ff.Command{a.zoneEvacuateCommand(), a.zoneEndCommand(), a.zoneListCommand()},
	}
}

func (a *app) zoneEvacuateCommand() *ff.Command {
	c := &change{}
	flags := a.zoneFlags("evacuate", c)
	reason := flags.String('m', "reason", "", "why the zone is emptied, in one line; required")
	return &ff.Command{
		Name:      "evacuate",
		Usage:     "fulmarctl zone evacuate [FLAGS] --reason TEXT ZONE",
		ShortHelp: "let the backend servers of a zone take no new flows",
		LongHelp:  "Open flows go on, and balancers of the zone go on serving. The command zone list shows what remains.",
		Flags:     flags,
		Exec: a.connected(1, func(ctx context.Context, client *admin.Client, args []string) error {
			return a.changeZone(ctx, client, c, fleet.Command{Kind: fleet.KindEvacuate, Zone: args[0], Reason: *reason})
		}),
	}
}

func (a *app) zoneEndCommand() *ff.Command {
	c := &change{}
	return &ff.Command{
		Name:      "end",
		Usage:     "fulmarctl zone end [FLAGS] ZONE",
		ShortHelp: "end the evacuation of a zone",
		Flags:     a.zoneFlags("end", c),
		Exec: a.connected(1, func(ctx context.Context, client *admin.Client, args []string) error {
			return a.changeZone(ctx, client, c, fleet.Command{Kind: fleet.KindEndEvacuation, Zone: args[0]})
		}),
	}
}

// zoneFlags returns the flags of a command that changes the evacuations and fills c.
func (a *app) zoneFlags(name string, c *change) *ff.FlagSet {
	flags := a.flagSet(name)
	flags.StringVar(&c.requestID, 0, "request-id", "", "ID of an earlier try whose answer was lost; needs --expect")
	flags.StringVar(&c.expect, 'e', "expect", "", "revision at which the evacuations last changed; by default the one at the start")
	flags.BoolVar(&c.wait, 'w', "wait", "wait until the change is in force on every daemon")
	return flags
}

func isZoneChange(kind fleet.CommandKind) bool {
	return kind == fleet.KindEvacuate || kind == fleet.KindEndEvacuation
}

// changeZone sends a command that changes the evacuations and prints its result.
func (a *app) changeZone(ctx context.Context, client *admin.Client, c *change, command fleet.Command) error {
	if err := c.check(); err != nil {
		return err
	}
	var err error
	if command.ExpectedRevision, err = evacuationRevision(ctx, client, c.expect); err != nil {
		return err
	}
	result, err := a.propose(ctx, client, c.requestID, command)
	if err != nil {
		return err
	}
	a.out("%s of zone %s is accepted", command.Kind, command.Zone)
	if !c.wait {
		return nil
	}
	return a.wait(ctx, client, result.Revision)
}

// evacuationRevision returns the revision that text names, or the current one of the
// evacuations if text is empty.
func evacuationRevision(ctx context.Context, client *admin.Client, text string) (uint64, error) {
	if text == "" {
		status, err := client.Status(ctx)
		return status.EvacuationRevision, err
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errUsage.New("%q is not a revision", text)
	}
	return revision, nil
}

func (a *app) zoneListCommand() *ff.Command {
	flags := a.flagSet("list")
	asJSON := flags.Bool('j', "json", "print JSON")
	return &ff.Command{
		Name:      "list",
		Usage:     "fulmarctl zone list [--json]",
		ShortHelp: "list the evacuated zones and the flows that remain there",
		LongHelp:  "Backend servers and flows are known to the leader of the control group, see replica list.",
		Flags:     flags,
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(append([]fleet.Evacuation{}, status.Evacuations...))
			}
			return a.evacuations(status)
		}),
	}
}

func (a *app) evacuations(s admin.Status) error {
	if len(s.Evacuations) == 0 {
		a.out("no zone is evacuated")
		return nil
	}
	rows := [][]string{{"ZONE", "SINCE", "AUTHOR", "BACKEND SERVERS", "FLOWS", "REASON"}}
	for _, e := range s.Evacuations {
		members, flows := inZone(s, e.Zone)
		rows = append(rows, []string{e.Zone, e.ProposedAt.Format(time.RFC3339), e.Author, members, flows, e.Reason})
	}
	return a.table(rows)
}

// inZone returns the numbers of backend servers in a zone and of their flows, as text;
// "-" if the process that answered does not know them.
func inZone(s admin.Status, zone string) (members, flows string) {
	if !s.Progress.Known() {
		return "-", "-"
	}
	var memberCount, flowCount uint64
	for _, m := range s.Members {
		if m.Zone == zone {
			memberCount++
			flowCount += uint64(m.Flows)
		}
	}
	return strconv.FormatUint(memberCount, 10), strconv.FormatUint(flowCount, 10)
}
