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

// objectsOf returns the services of a state without their revisions.
func objectsOf(state *bfconfig.State) map[bfconfig.Ref]bfconfig.Object {
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

// naivePlan applies edits to a map of slots by name and reports whether all of them are valid.
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

// Compares random edits and undos with a naive model. An undo must restore the
// objects that the version changed, and must be refused if a later version changed
// one of them.
func TestPlanAndUndoAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := newFakeNode()
		r := &execution{backend: node}
		model := []map[string]int{{}}
		touched := [][]bfconfig.Ref{nil}
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			last := model[len(model)-1]
			var ops []bfconfig.Op
			var err error
			var next map[string]int
			var valid bool
			if len(model) > 1 && rapid.Bool().Draw(t, "undo") {
				version := rapid.IntRange(1, len(model)-1).Draw(t, "version")
				next, valid = naiveUndo(model, touched, version)
				undone, _ := node.VersionOps(context.Background(), bfconfig.Version(version))
				ops, err = r.inverse(context.Background(), node.State(), bfconfig.Version(version), undone)
				if isA[*NothingToUndoError](err) && valid && fmt.Sprint(next) == fmt.Sprint(last) {
					continue
				}
			} else {
				edits := rapid.SliceOfN(rapid.Custom(serviceEdit), 1, 3).Draw(t, "edits")
				next, valid = naivePlan(last, edits)
				ops, err = bfplan.Plan(node.State(), edits)
			}
			if (err == nil) != valid {
				t.Fatalf("error %v, expected valid: %v", err, valid)
			}
			if err != nil {
				continue
			}
			if err := node.commit(bfconfig.NewChange("id", "marta", node.now, ops)); err != nil {
				t.Fatal(err)
			}
			model, touched = append(model, next), append(touched, node.log[len(node.log)-1].Objects)
			if got := slotsOf(node.State()); fmt.Sprint(got) != fmt.Sprint(next) {
				t.Fatalf("%v instead of %v", got, next)
			}
		}
	})
}

func slotsOf(state *bfconfig.State) map[string]int {
	slots := map[string]int{}
	for ref, object := range objectsOf(state) {
		slots[ref.Name] = object.(bfconfig.ServiceSpec).Slots
	}
	return slots
}

func naiveUndo(model []map[string]int, touched [][]bfconfig.Ref, version int) (map[string]int, bool) {
	next := map[string]int{}
	for name, n := range model[len(model)-1] {
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
		if before, existed := model[version-1][ref.Name]; existed {
			next[ref.Name] = before
		}
	}
	return next, true
}

// If the version before the one to undo is no longer stored, the undo must be
// refused instead of removing the object.
func TestUndoWithoutHistoryIsRefused(t *testing.T) {
	is := is.New(t)
	c := &client{node: newFakeNode()}
	mustSend(t, c, "stage a create service docs slots 4; confirm a; stage b change service docs slots 9; confirm b")
	c.node.retained = 1
	r := &execution{backend: c.node}
	_, err := r.inverse(context.Background(), c.node.State(), 2, c.node.ops[1])
	var expired *HistoryExpiredError
	is.True(errors.As(err, &expired))
	results, status, err := c.send("undo 2; confirm undo-2")
	is.NoErr(err)
	is.Equal(status, bfresult.StatusRefused)
	is.Equal(results[0].(bfresult.Failure).Kind, bfresult.FailureInvalid)
}
