package ctl

import (
	"strings"
	"testing"
)

func TestZoneCommands(t *testing.T) {
	b := newBench(t)
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"list"}, exitOK, "no zone is evacuated"},
		{[]string{"evacuate", "sejong-a"}, exitFailed, "a written reason is required"},
		{[]string{"evacuate", "--reason", "flood", "sejong-a"}, exitFailed, "say why"},
		{[]string{"evacuate", "--reason", "water in the basement", "Sejong"}, exitFailed, "not the name of an availability zone"},
		{[]string{"evacuate", "--wait", "--reason", "water in the basement", "sejong-a"}, exitOK, "evacuate of zone sejong-a is accepted\nin force on 3 of 3"},
		{[]string{"evacuate", "--reason", "water in the basement", "sejong-a"}, exitOK, "is accepted"},
		{[]string{"list"}, exitOK, "sejong-a  2026-03-01T09:00:00Z"},
		{[]string{"list"}, exitOK, "1                41     water in the basement"},
		{[]string{"list", "--json"}, exitOK, `"reason": "water in the basement"`},
		{[]string{"end", "--expect", "0", "sejong-a"}, exitConflict, "have changed since revision 0"},
		{[]string{"end", "--expect", "x", "sejong-a"}, exitUsage, "not a revision"},
		{[]string{"end", "--request-id", "a", "sejong-a"}, exitUsage, "--request-id needs --expect"},
		{[]string{"end", "--request-id", "a", "--expect", "2", "sejong-a"}, exitOK, "end evacuation of zone sejong-a is accepted"},
		{[]string{"end", "--request-id", "a", "--expect", "2", "sejong-a"}, exitOK, "is accepted"},
		{[]string{"end", "sejong-a"}, exitOK, "is accepted"},
		{[]string{"list"}, exitOK, "no zone is evacuated"},
		{[]string{}, exitUsage, "take it back"},
	} {
		code, out := b.run(append([]string{"zone"}, step.args...)...)
		if code != step.code || !strings.Contains(out, step.want) {
			t.Fatalf("%q: exit code %d, not %d, output:\n%s\nwithout:\n%s", step.args, code, step.code, out, step.want)
		}
	}
}

func TestStatusShowsEvacuations(t *testing.T) {
	b := newBench(t)
	b.control.following = true
	b.run("zone", "evacuate", "--reason", "water in the basement", "sejong-a")
	if _, out := b.run("status"); !strings.Contains(out, "zone sejong-a is evacuated since 2026-03-01T09:00:00Z by ") || !strings.Contains(out, ": water in the basement") {
		t.Errorf("status:\n%s", out)
	}
	if _, out := b.run("zone", "list"); !strings.Contains(out, "-                -      water in the basement") {
		t.Errorf("a process that knows no daemons lists:\n%s", out)
	}
}
