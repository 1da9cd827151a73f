package bftraffic

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestDeltaLeadsToTheSameConfiguration(t *testing.T) {
	is := is.New(t)
	from := spec(3, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/"))
	changed := route("b", "h", "/b/", Destination{"vault", 1})
	to := spec(9, route("c", "h", "/c/"), changed, route("d", "h", "/d/"))
	delta, err := DeltaOf(from, to)
	is.NoErr(err)
	is.Equal(len(delta.Set), 2)
	is.Equal(delta.Dropped, []string{"a"})
	made, err := from.Apply(delta)
	is.NoErr(err)
	is.Equal(made.sorted(), to.sorted())
}

// A delta meets another version than it was made for, or was damaged on its way.
// Applied, it would leave routes that no operator wrote.
func TestWrongDeltaIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	from, to := spec(3, route("a", "h", "/a/")), spec(4, route("a", "h", "/a2/"))
	delta, err := DeltaOf(from, to)
	is.NoErr(err)
	var wrong *DeltaError
	_, err = spec(2, route("a", "h", "/a/")).Apply(delta)
	is.True(errors.As(err, &wrong))
	_, err = spec(3, route("a", "h", "/a/"), route("x", "h", "/x/")).Apply(delta)
	is.True(errors.As(err, &wrong))
	delta.Set[0].Prefix = "/damaged/"
	_, err = from.Apply(delta)
	is.True(errors.As(err, &wrong))
}
