package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	balancerLog = `  -9.9 frontend-1 quic: a line of a library
  1.0010 frontend-1 {"level":"info","ts":"2026-03-01T01:00:00.000Z","logger":"balancer","msg":"Adopted a view.","service":1,"members":2}
  1.2010 frontend-1 {"level":"info","ts":"2026-03-01T01:00:04.200Z","logger":"balancer","msg":"Forwarded a segment to a backend server.","caller":"100.64.0.7:1001","address":"198.18.0.1:443","opens":true,"seq":2251585001,"reason":"placed"}
  1.2011 frontend-1 {"level":"info","ts":"2026-03-01T01:00:04.300Z","logger":"balancer","msg":"Forwarded a segment to a backend server.","caller":"100.64.0.7:10011","address":"198.18.0.1:443","opens":true,"seq":18,"reason":"placed"}
  1.3010 frontend-1 {"level":"info","ts":"2026-03-01T01:00:05.000Z","logger":"balancer","msg":"Adopted a view.","service":1,"members":1}
  1.4010 frontend-1 {"level":"info","ts":"2026-03-01T01:00:06.000Z","logger":"balancer","msg":"Reset a flow.","caller":"100.64.0.7:1001","address":"198.18.0.1:443","opens":false,"seq":99,"reason":"host_ended"}
`
	agentLog = `{"level":"warn","ts":"2026-03-01T02:00:04.900+0100","logger":"agent","msg":"Backend server is down: unresponsive or deregistered.","standing":"left"}
{"level":"info","ts":"2026-03-01T01:00:04.202Z","logger":"agent","msg":"Delivered the first segment of a flow.","caller":"100.64.0.7:1001","seq":17}
{"level":"info","ts":"2026-03-01T01:00:04.202Z","logger":"agent","msg"
`
	elsewhereLog = `{"level":"info","ts":"2026-03-01T01:00:05.000Z","logger":"agent","msg":"Adopted a configuration."}
`
)

func read(t *testing.T) (all []Line, skipped int) {
	t.Helper()
	for vm, text := range map[string]string{"frontend-1.log": balancerLog, "side-1": agentLog, "side-2": elsewhereLog} {
		log, err := Read(strings.NewReader(text), vm)
		if err != nil {
			t.Fatal(err)
		}
		all, skipped = append(all, log.Lines...), skipped+log.Skipped
	}
	return all, skipped
}

func texts(lines []Line) (out []string) {
	for _, l := range lines {
		out = append(out, l.VM+" "+l.Text)
	}
	return out
}

func TestAFlowIsExplainedByTheProcessesThatTouchedIt(t *testing.T) {
	is := is.New(t)
	lines, skipped := read(t)
	is.Equal(skipped, 2) // a library's line and one that is cut off
	q := Query{Caller: "100.64.0.7:1001", Around: time.Second}
	is.Equal(texts(Select(lines, q)), []string{
		"frontend-1 Forwarded a segment to a backend server.",
		"side-1 Delivered the first segment of a flow.",
		"side-1 Backend server is down: unresponsive or deregistered.",
		"frontend-1 Adopted a view.",
		"frontend-1 Reset a flow.",
	})
	is.True(strings.Contains(Select(lines, q)[0].String(), " seq=2251585001"))
	q.Around = 10 * time.Second
	is.Equal(len(Select(lines, q)), 6) // the first view too
	q.Caller = "100.64.0.7"
	is.Equal(len(Select(lines, q)), 7) // every flow of the caller
	q.Caller = "100.64.0.8"
	is.Equal(len(Select(lines, q)), 0)
}

func TestAStretchOfTimeIsExplainedByAllProcesses(t *testing.T) {
	is := is.New(t)
	lines, _ := read(t)
	at := time.Date(2026, 3, 1, 1, 0, 4, 900e6, time.UTC)
	chosen := Select(lines, Query{From: at, To: at.Add(100 * time.Millisecond)})
	is.Equal(len(chosen), 3)
	is.Equal(chosen[0].String(),
		"2026-03-01T01:00:04.900Z side-1 agent: Backend server is down: unresponsive or deregistered. standing=left")
	is.Equal(Summary(lines)[0], Count{Text: "Adopted a view.", Lines: 2})
}
