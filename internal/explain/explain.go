// Package explain reads the logs of several processes and picks from them what
// explains one flow or a stretch of time: the decisions about it, and what the
// processes that made them came to believe meanwhile.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a process's log.
type Line struct {
	// VM names where the process runs.
	VM     string
	At     time.Time
	Level  string
	Logger string
	Text   string
	// Fields are the line's values by name.
	Fields map[string]any
}

// The names of the fields that every line has, and of those that name a flow.
const (
	keyTime   = "ts"
	keyLevel  = "level"
	keyLogger = "logger"
	keyText   = "msg"
	keyCaller = "caller"
)

// timeLayout is how processes write times: UTC, or with an offset.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// maxLine bounds one line of a log, in bytes.
const maxLine = 1 << 20

// Log is what one file holds.
type Log struct {
	Lines []Line
	// Skipped counts the lines that no process of fulmarmount has written.
	Skipped int
}

// Read reads a log. The word before a line's object names the VM, as collectors of
// logs write it; without one it is vm.
func Read(r io.Reader, vm string) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text(), vm)
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return log, fmt.Errorf("line %d of the log of %q: %w", len(log.Lines)+log.Skipped+1, vm, err)
	}
	return log, nil
}

func parse(text, vm string) (Line, bool) {
	before, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	line := Line{VM: vm}
	decoder := json.NewDecoder(strings.NewReader(text[len(before):]))
	decoder.UseNumber() // sequence numbers are shown as they were written
	if err := decoder.Decode(&line.Fields); err != nil {
		return Line{}, false
	}
	if words := strings.Fields(before); len(words) > 0 {
		line.VM = words[len(words)-1]
	}
	at, err := time.Parse(timeLayout, line.take(keyTime))
	if err != nil {
		return Line{}, false
	}
	line.At = at
	line.Level, line.Logger, line.Text = line.take(keyLevel), line.take(keyLogger), line.take(keyText)
	return line, line.Text != ""
}

// take removes a field that is text and returns it.
func (l *Line) take(key string) string {
	value, _ := l.Fields[key].(string)
	delete(l.Fields, key)
	return value
}

// String returns the line as people read it.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s: %s", l.At.UTC().Format(timeLayout), l.VM, l.Logger, l.Text)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}

// Query says what is to be explained.
type Query struct {
	// Caller is the address and port of the caller's end of a flow, or the address
	// alone for all its flows; empty for every line of the time.
	Caller string
	// From and To bound the time; zero for no bound.
	From, To time.Time
	// Around is how long before the first and after the last line of a flow beliefs
	// are shown.
	Around time.Duration
}

// Select returns the lines that explain a query, in the order of their times: all
// of the time where it names no caller. Otherwise it is the lines of the caller's
// flows, and of the processes that wrote them those that are about no other flow.
func Select(lines []Line, q Query) []Line {
	within := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !q.covers(l.At) })
	slices.SortStableFunc(within, func(a, b Line) int { return a.At.Compare(b.At) })
	if q.Caller == "" {
		return within
	}
	var first, last time.Time
	touched := make(map[string]bool)
	for _, l := range within {
		if !q.names(l) {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		last = l.At
		touched[l.VM] = true
	}
	return slices.DeleteFunc(within, func(l Line) bool {
		near := !l.At.Before(first.Add(-q.Around)) && !l.At.After(last.Add(q.Around))
		belief := l.Fields[keyCaller] == nil && touched[l.VM] && near
		return !q.names(l) && !belief
	})
}

func (q Query) covers(at time.Time) bool {
	return (q.From.IsZero() || !at.Before(q.From)) && (q.To.IsZero() || !at.After(q.To))
}

// names reports whether a line is about a flow of the query's caller.
func (q Query) names(l Line) bool {
	caller, _ := l.Fields[keyCaller].(string)
	return caller != "" && (caller == q.Caller || strings.HasPrefix(caller, q.Caller+":"))
}

// Count is how often a line was written.
type Count struct {
	Text   string
	Reason string
	Lines  int
}

// Summary counts lines by their text and reason, the most frequent first.
func Summary(lines []Line) []Count {
	counts := make(map[Count]int)
	for _, l := range lines {
		counts[Count{Text: l.Text, Reason: reason(l)}]++
	}
	out := make([]Count, 0, len(counts))
	for c, n := range counts {
		c.Lines = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Text, b.Text), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// reason returns why a decision was made, if its line says so.
func reason(l Line) string {
	for _, key := range []string{"reason", "refusal"} {
		if value, ok := l.Fields[key].(string); ok {
			return value
		}
	}
	return ""
}
