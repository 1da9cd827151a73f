package bfpace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against senders that are late at their rate, and against ones that stop or trickle after a fast start and
// are not.
func TestPace(t *testing.T) {
	terms := Terms{Rate: 1000, Pause: 500 * time.Millisecond}
	for _, test := range []struct {
		name string
		// pieces are the bytes that arrive every 100 ms.
		pieces []int
		late   bool
	}{
		{"at the rate", []int{100, 100, 100, 100, 100, 100, 100, 100}, false},
		{"fast, then pauses", []int{100_000, 0, 0, 0, 0}, false},
		{"fast, then stops", []int{1_000_000, 0, 0, 0, 0, 0}, true},
		{"fast, then trickles", []int{1_000_000, 1, 1, 1, 1, 1, 1}, true},
		{"never begins", []int{0, 0, 0, 0, 0}, true},
		{"catches up", []int{0, 0, 0, 0, 0, 0, 0, 10_000}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1, 0)
			p := New(now, terms)
			for _, bytes := range test.pieces {
				now = now.Add(100 * time.Millisecond)
				if bytes > 0 {
					p = p.Arrived(bytes, now, terms)
				}
			}
			is.New(t).Equal(p.Late(now) >= 0, test.late)
		})
	}
}

// Guards against senders that are late since their receiver did not read.
func TestWaitedTimeDoesNotCount(t *testing.T) {
	terms := Terms{Rate: 1000, Pause: 500 * time.Millisecond}
	now := time.Unix(1, 0)
	p := New(now, terms).Waited(time.Second)
	is.New(t).True(p.Late(now.Add(time.Second)) < 0)
}
