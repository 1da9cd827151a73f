package bfplan

import (
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// FieldChange is one field of an object before and after an operation.
type FieldChange struct{ Field, Before, After string }

// Difference compares two objects of one kind; either may be nil.
func Difference(before, after bfconfig.Object) ([]FieldChange, error) {
	old, err := settingsOf(before)
	if err != nil {
		return nil, err
	}
	next, err := settingsOf(after)
	if err != nil {
		return nil, err
	}
	// Both lists name every field of the kind in one order; an absent object names none.
	var changes []FieldChange
	for i := range max(len(old), len(next)) {
		change := FieldChange{}
		if i < len(old) {
			change.Field, change.Before = old[i].Field, old[i].Value
		}
		if i < len(next) {
			change.Field, change.After = next[i].Field, next[i].Value
		}
		if change.Before != change.After {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

func settingsOf(object bfconfig.Object) ([]bfsyntax.Setting, error) {
	if object == nil {
		return nil, nil
	}
	fields, err := bfsyntax.FieldsOf(object)
	if err != nil {
		return nil, err
	}
	return fields.Settings(), nil
}

// Action names what makes the one object of the other; either may be nil.
func Action(before, after bfconfig.Object) string {
	switch {
	case before == nil:
		return "create"
	case after == nil:
		return "remove"
	}
	return "change"
}
