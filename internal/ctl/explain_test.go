package ctl

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	frontLog = `{"level":"info","ts":"2026-03-01T01:00:04.200Z","logger":"balancer","msg":"Forwarded a segment to a backend server.","caller":"100.64.0.7:1001","reason":"placed"}
{"level":"info","ts":"2026-03-01T01:00:04.300Z","logger":"balancer","msg":"Forwarded a segment to a backend server.","caller":"100.64.0.8:1001","reason":"placed"}
`
	sideLog = `{"level":"info","ts":"2026-03-01T01:00:04.202Z","logger":"agent","msg":"Delivered the first segment of a flow.","caller":"100.64.0.7:1001"}
`
)

func TestExplainMergesLogs(t *testing.T) {
	b := newBench(t)
	front, side := b.file("front-1.log", frontLog), b.file("side-1.log", sideLog)
	cases := []struct {
		args string
		code int
		want []string
	}{
		{"explain --flow 100.64.0.7:1001 " + side + " " + front, exitOK, []string{
			"2026-03-01T01:00:04.200Z front-1 balancer: Forwarded a segment to a backend server. caller=100.64.0.7:1001 reason=placed",
			"2026-03-01T01:00:04.202Z side-1 agent: Delivered the first segment of a flow. caller=100.64.0.7:1001",
			"2 of 3 lines; 0 others are not of fulmarmount",
		}},
		{"explain --summary --to 2026-03-01T01:00:04.201Z " + front, exitOK, []string{
			"       1  Forwarded a segment to a backend server. placed",
			"1 of 2 lines; 0 others are not of fulmarmount",
		}},
		{"explain --from 2026-03-01T01:00:05Z " + front, exitOK, []string{"0 of 2 lines; 0 others are not of fulmarmount"}},
		{"explain --from noon " + front, exitUsage, []string{`fulmarctl: "noon" is not a time such as 2026-03-01T01:00:04.5Z`}},
		{"explain", exitUsage, []string{"fulmarctl: no file given; see --help"}},
	}
	for _, c := range cases {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			code, out := b.run(strings.Fields(c.args)...)
			is.Equal(code, c.code)
			is.Equal(strings.Split(strings.TrimRight(out, "\n"), "\n"), c.want)
		})
	}
}
