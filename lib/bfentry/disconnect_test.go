package bfentry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfgroup"
)

// Guards against a request that waits for a slot after its caller has left, and runs, and against one that is
// not repeatable and is cut off at its target, since its caller has left.
func TestRequestsOfCallersThatLeave(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		// finishes is set if a request that runs is finished without its caller.
		finishes bool
	}{
		"repeatable":     {http.MethodGet, "/look/", false},
		"not repeatable": {http.MethodPost, "/approve/", true},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var waiting, finished, cancelled atomic.Int32
			m := newMesh(t, generous, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == c.path+"waiting" {
					waiting.Add(1)
				}
				select {
				case <-release:
					finished.Add(1)
				case <-r.Context().Done():
					cancelled.Add(1)
				}
				hello(w, r)
			})
			group := bfgroup.New(context.Background())
			send := func(ctx context.Context, path string) {
				group.Go("caller", func(context.Context) error {
					r, err := http.NewRequestWithContext(ctx, c.method, m.front.URL+c.path+path, nil)
					if err != nil {
						return err
					}
					r.Host = "h.example"
					r.Header.Set(names.RequestID, path)
					response, err := http.DefaultClient.Do(r)
					if err == nil {
						response.Body.Close()
					}
					return nil
				})
			}
			stays := context.Background()
			leaves, leave := context.WithCancel(stays)
			defer leave()
			send(leaves, "running")
			for range slots - 1 {
				send(stays, "beside")
			}
			m.await(func() bool { return m.runs() == slots })
			used := func() int {
				used, _ := m.nodes[0].host.Load()
				return used
			}
			send(leaves, "waiting")
			m.await(func() bool { return used() == slots+1 })
			leave()
			left := slots
			if !c.finishes {
				left--
			}
			m.await(func() bool { return used() == left })
			close(release)
			m.NoErr(group.Wait())
			m.awaitIdle()
			time.Sleep(50 * time.Millisecond)
			m.Equal(waiting.Load(), int32(0))
			wantFinished := int32(slots)
			if !c.finishes {
				wantFinished--
			}
			m.Equal(finished.Load(), wantFinished)
			m.Equal(cancelled.Load(), slots-wantFinished)
		})
	}
}

// Guards against a target that gets fewer requests since its callers leave: the entry ends those itself.
func TestCallerThatLeavesIsNoFailureOfTheTarget(t *testing.T) {
	var began atomic.Int32
	m := newMesh(t, generous, func(_ http.ResponseWriter, r *http.Request) {
		began.Add(1)
		<-r.Context().Done()
	})
	demand := m.entry.Demand(m.entry.config.Traffic.Current().Match("h.example", "/look/1"), "portal")
	cost := m.fleet.Rank(demand, time.Now())[0].Cost
	for request := range int32(8) {
		ctx, leave := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, m.front.URL+"/look/1", nil)
		m.NoErr(err)
		r.Host = "h.example"
		group := bfgroup.New(context.Background())
		group.Go("leave", func(context.Context) error {
			m.await(func() bool { return began.Load() > request })
			leave()
			return nil
		})
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			response.Body.Close()
		}
		m.True(err != nil)
		m.NoErr(group.Wait())
		m.awaitIdle()
	}
	m.await(func() bool { return m.entry.Active() == 0 })
	m.Equal(m.fleet.Rank(demand, time.Now())[0].Cost, cost)
}
