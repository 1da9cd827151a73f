package bftraffic

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestDeltaLeadsToTheSameConfiguration(t *testing.T) {
	is := is.New(t)
	from := mustSnapshot(t, spec(3, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/")))
	changed := route("b", "h", "/b/", Destination{"vault", 1})
	to := mustSnapshot(t, spec(9, route("c", "h", "/c/"), changed, route("d", "H2", "/d/")))
	delta := DeltaOf(from, to)
	is.Equal(len(delta.Set), 2)
	is.Equal(delta.Dropped, []Place{{"h", "/a/"}})
	made, err := from.Apply(delta)
	is.NoErr(err)
	is.Equal(made.Spec(), to.Spec())
	is.Equal(made.Match("h2", "/d/x").Name(), "d")
	is.True(made.Match("h", "/a/x") == nil)
	is.Equal(from.Match("h", "/a/x").Name(), "a") // the old one is as it was
	// A route that both versions have is shared, and goes on dealing where it was.
	is.True(made.Match("h", "/c/x") == from.Match("h", "/c/x"))
}

// A delta meets another version than it was made for, or was damaged on its way.
// Applied, it would leave routes that no operator wrote.
func TestWrongDeltaIsRefusedWhole(t *testing.T) {
	is := is.New(t)
	from, to := mustSnapshot(t, spec(3, route("a", "h", "/a/"))), mustSnapshot(t, spec(4, route("a", "h", "/a2/")))
	delta := DeltaOf(from, to)
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

// Two members tell of versions that they read at different moments: one of 3 to 6,
// the other of 3 to 7. A node that took 6 can take 7 from that too, unless 7 takes
// back what 6 changed: then the delta has nothing of it, and must be refused.
func TestDeltaMadeForAnOlderVersion(t *testing.T) {
	is := is.New(t)
	third := mustSnapshot(t, spec(3, route("a", "h", "/a/")))
	sixth := mustSnapshot(t, spec(6, route("a", "h", "/a/"), route("b", "h", "/b/")))
	seventh := mustSnapshot(t, spec(7, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/c/")))
	made, err := sixth.Apply(DeltaOf(third, seventh))
	is.NoErr(err)
	is.Equal(made.Spec(), seventh.Spec())
	back := mustSnapshot(t, spec(7, route("a", "h", "/a/"), route("c", "h", "/c/")))
	_, err = sixth.Apply(DeltaOf(third, back))
	var wrong *DeltaError
	is.True(errors.As(err, &wrong))
}

// Routes are shared between versions, and whether one is urgent depends on the
// others. A version that adds a less urgent route makes the old one urgent.
func TestUrgencyFollowsTheOtherRoutes(t *testing.T) {
	is := is.New(t)
	approve := route("approve", "h", "/approve/")
	approve.Rank = 1
	look := route("look", "h", "/look/")
	look.Rank = 2
	first := mustSnapshot(t, spec(3, approve))
	is.True(!first.Match("h", "/approve/1").Urgent())
	second, err := first.Apply(DeltaOf(first, mustSnapshot(t, spec(4, approve, look))))
	is.NoErr(err)
	is.True(second.Match("h", "/approve/1").Urgent())
	is.True(!second.Match("h", "/look/1").Urgent())
	is.True(!first.Match("h", "/approve/1").Urgent()) // the old one is as it was
	third, err := second.Next(spec(5, approve))
	is.NoErr(err)
	is.True(!third.Match("h", "/approve/1").Urgent())
}
