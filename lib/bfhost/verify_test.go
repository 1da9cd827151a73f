package bfhost

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bflifecycle"
)

// Guards against a restarted node that uses a target which has left, on the word of late heartbeats, and
// against one that uses no target, although it runs, as long as the store can't be read.
func TestTargetIsUsedOnceItAnswersThatItAcceptsRequests(t *testing.T) {
	type answer struct {
		incarnation string
		status      int
		notRun      string
	}
	accepting, full := answer{"a", http.StatusOK, ""}, answer{"a", http.StatusServiceUnavailable, "1"}
	for name, c := range map[string]struct {
		// answers are given in turn, the last one repeatedly.
		answers   []answer
		want      bool
		questions int32
	}{
		"accepting":    {[]answer{accepting}, true, 1},
		"leaving":      {[]answer{{"a", http.StatusServiceUnavailable, ""}}, false, 1},
		"another one":  {[]answer{{"b", http.StatusOK, ""}}, false, 1},
		"full":         {[]answer{full}, false, maxQuestions},
		"full at once": {[]answer{full, accepting}, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var asked atomic.Int32
			r := newFixture(t, func(w http.ResponseWriter, q *http.Request) {
				if q.URL.Path != "/health" {
					t.Errorf("asked at %s", q.URL.Path)
				}
				given := c.answers[min(int(asked.Add(1)), len(c.answers))-1]
				w.Header().Set(names.Target, given.incarnation)
				if given.notRun != "" {
					w.Header().Set(names.NotRun, given.notRun)
				}
				w.WriteHeader(given.status)
			})
			r.host.tracker.AwaitDepartures()
			r.host.config.HealthPath, r.host.config.Spawn = func() string { return "/health" }, r.group.Go
			r.heartbeat("a", 1, bflifecycle.Ready)
			for began := time.Now(); r.host.verifying.Load() && time.Since(began) < 5*time.Second; {
				time.Sleep(time.Millisecond)
			}
			r.Equal(r.host.Target() != nil, c.want)
			r.Equal(asked.Load(), c.questions)
		})
	}
}
