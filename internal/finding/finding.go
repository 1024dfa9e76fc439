// Package finding collects everything that is wrong with a file, each finding
// with its place, so that one report shows all of them at once.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("finding")

	// Invalid is the type of the error that carries findings.
	Invalid = namespace.NewType("invalid").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	findingsProperty = errorx.RegisterProperty("findings")
)

// Finding is one fault in a file. Line counts from 1; 0 stands for the file as
// a whole. Section and Key are empty where they do not apply.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as file:line: [section] key: message.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings collects findings. The zero value is ready to use.
type Findings struct {
	list []Finding
}

// Add records one finding.
func (fs *Findings) Add(f Finding) { fs.list = append(fs.list, f) }

// Len returns the number of findings so far.
func (fs *Findings) Len() int { return len(fs.list) }

// Sorted returns the findings ordered by file, line, section and key.
func (fs *Findings) Sorted() []Finding {
	sorted := slices.Clone(fs.list)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return sorted
}

// Err returns nil where there is no finding, else an error of type Invalid
// whose message lists every finding, one per line.
func (fs *Findings) Err() error {
	if len(fs.list) == 0 {
		return nil
	}
	sorted := fs.Sorted()
	return Invalid.New("%d findings\n%s", len(sorted), Report(sorted)).
		WithProperty(findingsProperty, sorted)
}

// Report formats findings, one per line.
func Report(list []Finding) string {
	lines := make([]string, len(list))
	for i, f := range list {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Of returns the findings that err carries, or nil.
func Of(err error) []Finding {
	value, ok := errorx.ExtractProperty(err, findingsProperty)
	if !ok {
		return nil
	}
	list, _ := value.([]Finding)
	return list
}
