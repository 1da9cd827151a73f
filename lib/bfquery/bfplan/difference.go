package bfplan

import (
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfquery/bfsyntax"
)

// FieldChange is the value of one field before and after an operation.
type FieldChange struct{ Field, Before, After string }

// Difference returns the fields in which two objects of one kind differ; either may be nil.
func Difference(before, after bfconfig.Object) ([]FieldChange, error) {
	old, err := settingsOrNil(before)
	if err != nil {
		return nil, err
	}
	next, err := settingsOrNil(after)
	if err != nil {
		return nil, err
	}
	// Both lists hold every field of the kind in the same order; a nil object has an empty list.
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

func settingsOrNil(object bfconfig.Object) ([]bfsyntax.Setting, error) {
	if object == nil {
		return nil, nil
	}
	fields, err := bfsyntax.FieldsOf(object)
	if err != nil {
		return nil, err
	}
	return fields.Settings(), nil
}

// Action returns the edit that turns before into after: create, change or remove. Either may be nil.
func Action(before, after bfconfig.Object) string {
	switch {
	case before == nil:
		return "create"
	case after == nil:
		return "remove"
	}
	return "change"
}
