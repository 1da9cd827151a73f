package bftraffic

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestDeltaProducesTheSameConfiguration(t *testing.T) {
	is := is.New(t)
	from := mustSnapshot(t, spec(3, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/")))
	changed := route("b", "h", "/b/", Destination{"vault", 1})
	to := mustSnapshot(t, spec(9, route("c", "h", "/c/"), changed, route("d", "H2", "/d/")))
	delta := Diff(from, to)
	is.Equal(len(delta.Set), 2)
	is.Equal(delta.Dropped, []RouteKey{{"h", "/a/"}})
	made, err := from.Apply(delta)
	is.NoErr(err)
	is.Equal(made.Spec(), to.Spec())
	is.Equal(made.Match("h2", "/d/x").Name(), "d")
	is.True(made.Match("h", "/a/x") == nil)
	is.Equal(from.Match("h", "/a/x").Name(), "a") // from is unchanged
	// Shared routes keep their position in the distribution of requests.
	is.True(made.Match("h", "/c/x") == from.Match("h", "/c/x"))
}

// A delta that does not fit the current version or is corrupt must be rejected.
func TestMismatchedDeltaIsRejected(t *testing.T) {
	is := is.New(t)
	from, to := mustSnapshot(t, spec(3, route("a", "h", "/a/"))), mustSnapshot(t, spec(4, route("a", "h", "/a2/")))
	delta := Diff(from, to)
	var wrong *DeltaError
	_, err := mustSnapshot(t, spec(2, route("a", "h", "/a/"))).Apply(delta)
	is.True(errors.As(err, &wrong))
	_, err = mustSnapshot(t, spec(3, route("a", "h", "/a/"), route("x", "h", "/x/"))).Apply(delta)
	is.True(errors.As(err, &wrong))
	_, err = to.Apply(delta)
	is.True(errors.As(err, &wrong))
	delta.Set[0].Prefix = "/damaged/"
	_, err = from.Apply(delta)
	is.True(errors.As(err, &wrong))
}

// A delta whose base is older than the current version applies if it includes all
// changes since its base. If it lacks a change because it was reverted, it must be rejected.
func TestDeltaMadeForAnOlderVersion(t *testing.T) {
	is := is.New(t)
	third := mustSnapshot(t, spec(3, route("a", "h", "/a/")))
	sixth := mustSnapshot(t, spec(6, route("a", "h", "/a/"), route("b", "h", "/b/")))
	seventh := mustSnapshot(t, spec(7, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/")))
	made, err := sixth.Apply(Diff(third, seventh))
	is.NoErr(err)
	is.Equal(made.Spec(), seventh.Spec())
	back := mustSnapshot(t, spec(7, route("a", "h", "/a/"), route("c", "h", "/c/")))
	_, err = sixth.Apply(Diff(third, back))
	var wrong *DeltaError
	is.True(errors.As(err, &wrong))
}

// Versions share routes, but whether a route is urgent depends on the other routes
// and must be updated when these change.
func TestUrgencyFollowsTheOtherRoutes(t *testing.T) {
	is := is.New(t)
	higher := route("approve", "h", "/approve/")
	higher.Rank = 1
	lower := route("look", "h", "/look/")
	lower.Rank = 2
	first := mustSnapshot(t, spec(3, higher))
	is.True(!first.Match("h", "/approve/1").Urgent())
	second, err := first.Apply(Diff(first, mustSnapshot(t, spec(4, higher, lower))))
	is.NoErr(err)
	is.True(second.Match("h", "/approve/1").Urgent())
	is.True(!second.Match("h", "/look/1").Urgent())
	is.True(!first.Match("h", "/approve/1").Urgent()) // first is unchanged
	third, err := second.Next(spec(5, higher))
	is.NoErr(err)
	is.True(!third.Match("h", "/approve/1").Urgent())
}
