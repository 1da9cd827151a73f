package bfquery

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfplan"
	"bilberryflow.org/lib/bfquery/bfresult"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// content is a state's objects without their revisions.
func content(state *bfconfig.State) map[bfconfig.Ref]bfconfig.Object {
	objects := map[bfconfig.Ref]bfconfig.Object{}
	for _, object := range state.Objects(bfconfig.KindService) {
		objects[object.Ref()] = object
	}
	return objects
}

func serviceEdit(t *rapid.T) bfsyntax.Edit {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	slots := rapid.IntRange(0, 3).Draw(t, "slots")
	fields := bfsyntax.ServiceFields{Slots: &slots}
	return rapid.SampledFrom([]bfsyntax.Edit{
		bfsyntax.Create{Name: name, Fields: fields}, bfsyntax.Change{Name: name, Fields: fields},
		bfsyntax.Remove{Object: bfconfig.Ref{Kind: bfconfig.KindService, Name: name}},
	}).Draw(t, "edit")
}

// naivePlan runs edits on a map of slots by name and reports whether all of them fit.
func naivePlan(slots map[string]int, edits []bfsyntax.Edit) (map[string]int, bool) {
	next := map[string]int{}
	for name, n := range slots {
		next[name] = n
	}
	for _, edit := range edits {
		_, exists := next[edit.Ref().Name]
		switch e := edit.(type) {
		case bfsyntax.Create:
			if exists {
				return slots, false
			}
			next[e.Name] = *e.Fields.(bfsyntax.ServiceFields).Slots
		case bfsyntax.Change:
			if !exists {
				return slots, false
			}
			next[e.Name] = *e.Fields.(bfsyntax.ServiceFields).Slots
		case bfsyntax.Remove:
			if !exists {
				return slots, false
			}
			delete(next, e.Object.Name)
		}
	}
	return next, true
}

// Random staged changes and undos against a naive history. Undone, the objects
// that a version touched are what they were before it; where a later version
// touched one of them the undo is refused, since it would take that change back
// without its author hearing of it.
func TestPlanAndUndoAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := newFakeNode()
		r := &run{backend: node}
		naive := []map[string]int{{}}
		touched := [][]bfconfig.Ref{nil}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			last := naive[len(naive)-1]
			var ops []bfconfig.Op
			var err error
			var next map[string]int
			var fits bool
			if len(naive) > 1 && rapid.Bool().Draw(t, "undo") {
				version := rapid.IntRange(1, len(naive)-1).Draw(t, "version")
				next, fits = naiveUndo(naive, touched, version)
				undone, _ := node.VersionOps(context.Background(), bfconfig.Version(version))
				ops, err = r.inverse(context.Background(), node.State(), bfconfig.Version(version), undone)
				if isA[*NothingToUndoError](err) && fits && fmt.Sprint(next) == fmt.Sprint(last) {
					continue
				}
			} else {
				edits := rapid.SliceOfN(rapid.Custom(serviceEdit), 1, 3).Draw(t, "edits")
				next, fits = naivePlan(last, edits)
				ops, err = bfplan.Plan(node.State(), edits)
			}
			if (err == nil) != fits {
				t.Fatalf("error %v, but it fits: %v", err, fits)
			}
			if err != nil {
				continue
			}
			if err := node.commit(bfconfig.NewChange("id", "marta", node.now, ops)); err != nil {
				t.Fatal(err)
			}
			naive, touched = append(naive, next), append(touched, node.log[len(node.log)-1].Objects)
			if got := slotsOf(node.State()); fmt.Sprint(got) != fmt.Sprint(next) {
				t.Fatalf("%v instead of %v", got, next)
			}
		}
	})
}

func slotsOf(state *bfconfig.State) map[string]int {
	slots := map[string]int{}
	for ref, object := range content(state) {
		slots[ref.Name] = object.(bfconfig.ServiceSpec).Slots
	}
	return slots
}

func naiveUndo(naive []map[string]int, touched [][]bfconfig.Ref, version int) (map[string]int, bool) {
	next := map[string]int{}
	for name, n := range naive[len(naive)-1] {
		next[name] = n
	}
	for _, ref := range touched[version] {
		for later := version + 1; later < len(touched); later++ {
			for _, other := range touched[later] {
				if other == ref {
					return nil, false
				}
			}
		}
		delete(next, ref.Name)
		if before, existed := naive[version-1][ref.Name]; existed {
			next[ref.Name] = before
		}
	}
	return next, true
}

// The version before the one to undo is no longer kept. Read as "the object did
// not exist before", the undo would remove a service that is in use.
func TestUndoWithoutHistoryIsRefused(t *testing.T) {
	is := is.New(t)
	c := &client{node: newFakeNode()}
	stageOne(t, c, "stage a create service docs slots 4; confirm a; stage b change service docs slots 9; confirm b")
	c.node.kept = 1
	r := &run{backend: c.node}
	_, err := r.inverse(context.Background(), c.node.State(), 2, c.node.ops[1])
	var gone *HistoryGoneError
	is.True(errors.As(err, &gone))
	results, status, err := c.send("undo 2; confirm undo-2")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusRefused)
	is.Equal(results[0].(bfresult.Failure).Kind, bfresult.FailureInvalid)
}
