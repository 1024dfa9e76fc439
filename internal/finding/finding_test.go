package finding

import (
	"errors"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestErrReportsEveryFindingInOrder(t *testing.T) {
	is := is.New(t)
	var found Findings
	is.NoErr(found.Err())
	found.Add(Finding{File: "b.ini", Line: 2, Message: "two"})
	found.Add(Finding{File: "a.ini", Line: 9, Section: "tls", Key: "ca", Message: "missing"})
	found.Add(Finding{File: "a.ini", Line: 3, Section: "x", Message: "unknown section"})
	err := found.Err()
	is.True(errorx.IsOfType(err, Invalid))
	is.Equal(len(Of(err)), 3)
	is.True(strings.HasSuffix(err.Error(), strings.Join([]string{
		"a.ini:3: [x] unknown section",
		"a.ini:9: [tls] ca: missing",
		"b.ini:2: two",
	}, "\n")))
	is.Equal(Of(errors.New("other")), nil)
}
