package bfexchange

import (
	"context"

	"bilberryflow.org/lib/bfgroup"
)

// bodyWriters runs the goroutines that write long bodies.
type bodyWriters struct{ group *bfgroup.Group }

var writers = bodyWriters{group: bfgroup.New(context.Background())}

// Go runs fn in the group.
func (w bodyWriters) Go(name string, fn func()) {
	w.group.Go(name, func(context.Context) error {
		fn()
		return nil
	})
}
