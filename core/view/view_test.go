package view

import (
	"testing"

	"github.com/matryer/is"
)

func TestVersionIsOrderedByEpochThenNumber(t *testing.T) {
	is := is.New(t)
	is.True(Version{2, 0}.Newer(Version{1, 9}))
	is.True(Version{1, 2}.Newer(Version{1, 1}))
	is.True(!Version{1, 1}.Newer(Version{1, 1}))
}

func TestIndexOfFindsMembersInSortedView(t *testing.T) {
	is := is.New(t)
	v := New(1, Version{1, 1}, []BackendServer{{ID: "b"}, {ID: "a"}})
	is.Equal(v.IndexOf("a"), 0)
	is.Equal(v.IndexOf("b"), 1)
	is.Equal(v.IndexOf("c"), -1)
}
