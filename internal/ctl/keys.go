package ctl

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/keys"
)

const (
	defaultKeysDir = "keys"
	// defaultLead leaves time to copy a new packet key to every VM.
	defaultLead = time.Hour
)

func (a *app) keysCommand() *ff.Command {
	flags := a.flagSet("keys")
	dir := flags.String('d', "dir", defaultKeysDir, "folder of the authority")
	back := flags.DurationLong("back", 0, "how far to date keys back, for VMs whose clocks are behind")
	return &ff.Command{
		Name:      "keys",
		Usage:     "fulmarctl keys [--dir DIR] COMMAND ...",
		ShortHelp: "make and show the keys of the processes and operators, offline",
		Flags:     flags,
		Subcommands: []*ff.Command{
			{
				Name: "init", Usage: "fulmarctl keys init", ShortHelp: "make an authority and the first packet key",
				Flags: ff.NewFlagSet("init").SetParent(flags),
				Exec:  func(_ context.Context, args []string) error { return a.keysInit(*dir, *back, args) },
			},
			a.issueCommand(flags, dir, back),
			{
				Name: "show", Usage: "fulmarctl keys show", ShortHelp: "list certificates and packet keys with their times",
				Flags: ff.NewFlagSet("show").SetParent(flags),
				Exec:  func(_ context.Context, args []string) error { return a.keysShow(*dir, args) },
			},
			a.rotateCommand(flags, dir),
		},
	}
}

func (a *app) keysInit(dir string, back time.Duration, args []string) error {
	if err := wantArgs(args, 0); err != nil {
		return err
	}
	if err := keys.Init(dir, a.Now().Add(-back)); err != nil {
		return err
	}
	a.out("made %s and %s in %s; keep ca.key off the VMs", keys.CAFile, keys.RingFile, dir)
	return nil
}

func (a *app) issueCommand(parent *ff.FlagSet, dir *string, back *time.Duration) *ff.Command {
	flags := ff.NewFlagSet("issue").SetParent(parent)
	roles := flags.String(0, "roles", "balancer,agent,control", "roles that the certificate allows; operator for operators")
	days := flags.Int(0, "days", int(keys.DefaultValidity/(24*time.Hour)), "days until the certificate expires")
	return &ff.Command{
		Name:      "issue",
		Usage:     "fulmarctl keys issue [--roles ROLE,...] [--days N] NAME",
		ShortHelp: "make a certificate for a VM or an operator",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, 1); err != nil {
				return err
			}
			return a.issue(*dir, args[0], strings.Split(*roles, ","), *days, *back)
		},
	}
}

func (a *app) issue(dir, name string, roleNames []string, days int, back time.Duration) error {
	if !fleet.ValidName(name) {
		return errUsage.New("%q is not a name of lower-case letters, digits, '.' and '-'", name)
	}
	if name == "ca" {
		return errUsage.New("the name %q is the authority's", name)
	}
	if days < 1 {
		return errUsage.New("%d days are fewer than 1", days)
	}
	var roles []keys.Role
	for _, text := range roleNames {
		role := keys.Role(strings.TrimSpace(text))
		if !slices.Contains(keys.Roles(), role) {
			return errUsage.New("%q is none of the roles %q", role, keys.Roles())
		}
		roles = append(roles, role)
	}
	validity := time.Duration(days) * 24 * time.Hour
	if err := keys.Issue(dir, name, roles, a.Now().Add(-back), back+validity); err != nil {
		return err
	}
	a.out("made %s.pem and %s.key in %s, valid until %s", name, name, dir, a.Now().Add(validity).Format(time.RFC3339))
	return nil
}

func (a *app) keysShow(dir string, args []string) error {
	if err := wantArgs(args, 0); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return err
	}
	rows := [][]string{{"CERTIFICATE", "NAME", "ROLES", "ENDS", "STATE"}}
	for _, file := range files {
		info, err := keys.Describe(file)
		if err != nil {
			return err
		}
		rows = append(rows, []string{
			filepath.Base(file), info.Name, joinRoles(info.Roles), info.NotAfter.Format(time.RFC3339), state(info.NotAfter, a.Now()),
		})
	}
	if err := a.table(rows); err != nil {
		return err
	}
	return a.showRing(filepath.Join(dir, keys.RingFile))
}

func (a *app) showRing(path string) error {
	ring, err := keys.LoadRing(path)
	if err != nil {
		return err
	}
	active, _ := ring.Active(a.Now())
	rows := [][]string{{"PACKET KEY", "USED FROM", "STATE"}}
	for _, k := range ring.Keys() {
		state := "accepted"
		switch {
		case k.ID == active.ID:
			state = "in use"
		case k.NotBefore.After(a.Now()):
			state = "to come"
		}
		rows = append(rows, []string{strconv.FormatUint(uint64(k.ID), 10), k.NotBefore.Format(time.RFC3339), state})
	}
	return a.table(rows)
}

// soon is how long before its end a certificate is shown as ending.
const soon = 14 * 24 * time.Hour

func state(ends, now time.Time) string {
	switch {
	case !ends.After(now):
		return "expired"
	case ends.Sub(now) < soon:
		return "ends soon"
	default:
		return "valid"
	}
}

func joinRoles(roles []keys.Role) string {
	if len(roles) == 0 {
		return "-"
	}
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return strings.Join(names, ",")
}

func (a *app) rotateCommand(parent *ff.FlagSet, dir *string) *ff.Command {
	flags := ff.NewFlagSet("rotate").SetParent(parent)
	lead := flags.Duration(0, "lead", defaultLead, "time until senders use the new key")
	return &ff.Command{
		Name:      "rotate",
		Usage:     "fulmarctl keys rotate [--lead DURATION]",
		ShortHelp: "add a packet key; copy the file to every VM before it is used",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if err := wantArgs(args, 0); err != nil {
				return err
			}
			next, err := keys.Rotate(filepath.Join(*dir, keys.RingFile), a.Now(), *lead)
			if err != nil {
				return err
			}
			a.out("packet key %d is used from %s", next.ID, next.NotBefore.Format(time.RFC3339))
			return nil
		},
	}
}
