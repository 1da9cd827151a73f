package bfagenda

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against events that run out of order, among them events of the same time and events
// scheduled by events.
func TestEventsRunInOrder(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(0, 0)
	a := New(begin)
	var got []string
	note := func(what string) func() {
		return func() { got = append(got, what+" at "+a.Now().Sub(begin).String()) }
	}
	a.After(2*time.Second, note("third"))
	a.After(time.Second, note("first"))
	a.After(time.Second, func() {
		note("second")()
		a.After(2*time.Second, note("last"))
	})
	a.Run()
	is.Equal(got, []string{"first at 1s", "second at 1s", "third at 2s", "last at 3s"})
}
