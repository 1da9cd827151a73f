package bfledger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bilberryflow.org/lib/bfgroup"
)

// Load is what the callers of the limited workspaces and the operator of the keys do.
type Load struct {
	Group *bfgroup.Group
	// Length is how long faults are injected; the excess and the lowering of a limit are parts of it.
	Length time.Duration
	// Send sends one request with a key.
	Send func(ctx context.Context, client *http.Client, key *Key)
	// Write writes the ledger's keys and limits to the store and returns after its acknowledgement.
	Write func() error
	// Report is called with the result of each change.
	Report func(action string, err error)
}

func (l Load) part(share float64) time.Duration {
	return time.Duration(share * float64(l.Length))
}

// Start has callers send requests and the operator change keys and a limit until ctx ends. wait waits
// for the end of all.
func (l *Ledger) Start(ctx context.Context, load Load) (wait func()) {
	if l == nil {
		return func() {}
	}
	var running sync.WaitGroup
	start := func(name string, callers int, run func()) {
		for range callers {
			running.Add(1)
			load.Group.Go(name, func(context.Context) error {
				defer running.Done()
				run()
				return nil
			})
		}
	}
	began := time.Now()
	start("caller", 1, func() { l.call(ctx, load, Small, 300*time.Millisecond) })
	start("caller", 3, func() { l.call(ctx, load, Lowered, 100*time.Millisecond) })
	start("caller", 1, func() { l.call(ctx, load, Excessive, 100*time.Millisecond) })
	start("excess", 16, func() {
		time.Sleep(load.part(0.3))
		excess, cancel := context.WithTimeout(ctx, load.part(0.5))
		defer cancel()
		l.call(excess, load, Excessive, 40*time.Millisecond)
	})
	start("operator", 1, func() { l.operate(ctx, load, began) })
	return running.Wait
}

// call sends the requests of one caller of a workspace.
func (l *Ledger) call(ctx context.Context, load Load, name string, interval time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		load.Send(ctx, client, l.Draw(name))
		time.Sleep(interval/2 + rand.N(interval))
	}
}

// operate replaces a key of one workspace after the other, and lowers a limit early, so that the lower
// one is in effect for some time.
func (l *Ledger) operate(ctx context.Context, load Load, began time.Time) {
	lowered := false
	names := []string{Small, Excessive, Lowered}
	for at := 0; ctx.Err() == nil; at++ {
		time.Sleep(500 * time.Millisecond)
		load.Report("change of keys", l.Rotate(names[at%len(names)], load.Write))
		if !lowered && time.Since(began) > load.part(0.2) {
			lowered = true
			load.Report("change of a limit", l.Lower(load.Write))
		}
	}
}
