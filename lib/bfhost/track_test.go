package bfhost

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target says that it is well and sheds what it is sent. The node beside it tells
// so with each answer, at once and in one figure; when the target works again the
// figure sinks.
func TestTrackOfASheddingTarget(t *testing.T) {
	var sheds atomic.Bool
	r := newRig(t, func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(5 * time.Millisecond)
		if sheds.Load() {
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		hello(w, q)
	})
	r.beat("a", 1, Ready)
	run := func(times int) Track {
		for i := range times {
			r.run(job(fmt.Sprint(i)))
		}
		return r.host.Track("r")
	}
	track := run(10)
	r.Equal(track.Failing, 0.0)
	r.True(track.Running >= 5*time.Millisecond)
	sheds.Store(true)
	r.True(run(20).Failing > 0.6)
	sheds.Store(false)
	r.True(run(40).Failing < 0.15)
	r.Equal(r.host.Track("unknown").Running, time.Duration(0))
}

func TestTrackBetweenNodes(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	WriteTrack(h, Track{Failing: 0.25, Running: 43 * time.Millisecond})
	track, told := ReadTrack(h)
	is.True(told)
	is.Equal(track, Track{Failing: 0.25, Running: 43 * time.Millisecond})
	for _, text := range []string{"", "0.25", "x/1", "0.25/x"} {
		_, told = ReadTrack(http.Header{http.CanonicalHeaderKey("Bilberry-Track"): {text}})
		is.True(!told) // text
	}
}
