package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/admin"
)

func (a *app) drainCommand() *ff.Command {
	flags := a.flagSet("drain")
	cancel := flags.Bool('c', "cancel", "end the drain")
	comment := flags.String('m', "comment", "", "why the backend server leaves")
	return &ff.Command{
		Name:      "drain",
		Usage:     "fulmarctl drain [FLAGS] BACKEND-SERVER",
		ShortHelp: "let a backend server take no new work, or end that",
		LongHelp:  "What the backend server holds goes on. The command status shows what remains.",
		Flags:     flags,
		Exec: a.connected(1, func(ctx context.Context, client *admin.Client, args []string) error {
			command := fleet.Command{Kind: fleet.KindDrain, BackendServer: args[0], Comment: *comment}
			if *cancel {
				command.Kind = fleet.KindCancelDrain
			}
			if _, err := a.propose(ctx, client, "", command); err != nil {
				return err
			}
			a.out("%s of %s is accepted", command.Kind, args[0])
			return nil
		}),
	}
}

func (a *app) statusCommand() *ff.Command {
	flags := a.flagSet("status")
	asJSON := flags.Bool('j', "json", "print JSON")
	return &ff.Command{
		Name:      "status",
		Usage:     "fulmarctl status [--json]",
		ShortHelp: "show the fleet in short: version, daemons, drains, evacuations, expiries",
		Flags:     flags,
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(status)
			}
			return a.status(status)
		}),
	}
}

func (a *app) status(s admin.Status) error {
	a.out("version %d, revision %d, %d services; told by %s", s.Version, s.Revision, s.Services, s.Process)
	if s.Progress.Known() {
		a.out("in force on %d of %d daemons", s.Progress.InForce, s.Progress.Daemons)
	} else {
		a.out("%s knows no daemons; the leader of the control group does", s.Process)
	}
	for _, d := range s.Progress.Missing {
		a.out("  not on %s: it has %s in force%s", d.Name, d.InForce, departed(d))
	}
	for _, e := range s.Expired {
		a.out("exception %q expired %s: %s", e.Name, e.ExpiresAt.Format(time.RFC3339), e.Reason)
	}
	if !s.CertificateEnds.IsZero() {
		a.out("certificate of %s ends %s", s.Process, s.CertificateEnds.Format(time.RFC3339))
	}
	for _, d := range s.Drains {
		a.out("drain of %s since %s by %s %s", d.BackendServer, d.ProposedAt.Format(time.RFC3339), d.Author, d.Comment)
	}
	for _, e := range s.Evacuations {
		a.out("zone %s is evacuated since %s by %s: %s", e.Zone, e.ProposedAt.Format(time.RFC3339), e.Author, e.Reason)
	}
	if err := a.members(s.Members); err != nil {
		return err
	}
	return a.replicas(s.Replicas)
}

func departed(d admin.Daemon) string {
	if d.Departed {
		return ", and its connection is lost"
	}
	return ""
}

func (a *app) members(members []admin.Member) error {
	if len(members) == 0 {
		return nil
	}
	rows := [][]string{{"SERVICE", "BACKEND SERVER", "ZONE", "STATE", "WEIGHT", "FLOWS", "LOAD", "REASONS"}}
	for _, m := range members {
		rows = append(rows, []string{
			m.Service, m.ID, m.Zone, m.State, strconv.Itoa(int(m.Weight)),
			strconv.Itoa(int(m.Flows)), strconv.Itoa(int(m.Load)), strings.Join(m.Reasons, "; "),
		})
	}
	return a.table(rows)
}

func (a *app) replicas(replicas []admin.Replica) error {
	if len(replicas) == 0 {
		return nil
	}
	rows := [][]string{{"REPLICA", "NAME", "ADDRESS", "VOTER", "LEADER", "MATCH"}}
	for _, r := range replicas {
		rows = append(rows, []string{r.ID, r.Name, r.Addr, yes(r.Voter), yes(r.Leader), strconv.FormatUint(r.Match, 10)})
	}
	return a.table(rows)
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}

func (a *app) dumpCommand() *ff.Command {
	return &ff.Command{
		Name:      "dump",
		Usage:     "fulmarctl dump",
		ShortHelp: "print the state of a process as JSON",
		Flags:     a.flagSet("dump"),
		Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
			dump, err := client.Dump(ctx)
			if err != nil {
				return err
			}
			var indented bytes.Buffer
			if err := json.Indent(&indented, dump, "", "  "); err != nil {
				return err
			}
			a.out("%s", indented.Bytes())
			return nil
		}),
	}
}

func (a *app) json(value any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *app) replicaCommand() *ff.Command {
	return &ff.Command{
		Name:      "replica",
		Usage:     "fulmarctl replica COMMAND ...",
		ShortHelp: "list and change the replicas of the durable state",
		Flags:     a.flagSet("replica"),
		Subcommands: []*ff.Command{
			{
				Name: "list", Usage: "fulmarctl replica list", ShortHelp: "list the replicas",
				Flags: a.flagSet("list"),
				Exec: a.connected(0, func(ctx context.Context, client *admin.Client, _ []string) error {
					replicas, err := client.Replicas(ctx)
					if err != nil {
						return err
					}
					return a.replicas(replicas)
				}),
			},
			{
				Name: "add", Usage: "fulmarctl replica add NAME ADDRESS", ShortHelp: "add a replica; it votes once it has caught up",
				Flags: a.flagSet("add"),
				Exec: a.connected(2, func(ctx context.Context, client *admin.Client, args []string) error {
					addr, err := netip.ParseAddrPort(args[1])
					if err != nil {
						return errUsage.New("%q is not an IP address with a port", args[1])
					}
					return client.AddReplica(ctx, args[0], addr)
				}),
			},
			{
				Name: "remove", Usage: "fulmarctl replica remove ID", ShortHelp: "remove a replica for good",
				Flags: a.flagSet("remove"),
				Exec: a.connected(1, func(ctx context.Context, client *admin.Client, args []string) error {
					return client.RemoveReplica(ctx, args[0])
				}),
			},
			a.recoverCommand(),
		},
	}
}
