package bfmeasure

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftable"
)

// baseline simulates a fleet in which every node polls the table for the complete state.
type baseline struct {
	group   *bfgroup.Group
	table   *bftable.Client
	metrics *bfmetric.Registry
	bytes   atomic.Int64
	failed  atomic.Int64
	mu      sync.Mutex
	// reached holds the times at which the nodes first had each version.
	reached map[bfconfig.Version][]time.Time
}

const baselineInterval = time.Second

// startBaseline starts n pollers with random offsets within the polling interval.
func startBaseline(platform string, n int) *baseline {
	metrics := bfmetric.New()
	b := &baseline{
		group: bfgroup.New(context.Background()), metrics: metrics,
		table:   bftable.New(platform, 2*time.Second, metrics),
		reached: map[bfconfig.Version][]time.Time{},
	}
	for range n {
		b.group.Go("poller", b.poll)
	}
	return b
}

func (b *baseline) poll(ctx context.Context) error {
	current := bfconfig.Version(0)
	wait := rand.N(baselineInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		wait = baselineInterval
		state, size, err := b.readState(ctx)
		if err != nil {
			b.failed.Add(1)
			continue
		}
		b.bytes.Add(int64(size))
		if state.Version() > current {
			b.recordReached(current, state.Version())
			current = state.Version()
		}
	}
}

// readState reads all versions from the table and rebuilds the state. It also returns the size of the rows in bytes.
func (b *baseline) readState(ctx context.Context) (*bfconfig.State, int, error) {
	const maxVersions = 100_000
	from, to := bfcommit.VersionRange(1, maxVersions)
	rows, err := b.table.Range(ctx, from, to, maxVersions)
	if err != nil {
		return nil, 0, err
	}
	return rebuild(rows)
}

func rebuild(rows []bfstore.Row) (*bfconfig.State, int, error) {
	state, size := bfconfig.Empty(), 0
	for _, row := range rows {
		size += len(row.Value)
		delta, err := bfconfig.DecodeDelta(row.Value)
		if err != nil {
			return nil, 0, err
		}
		if state, err = state.Apply(delta); err != nil {
			return nil, 0, err
		}
	}
	return state, size, nil
}

func (b *baseline) recordReached(after, to bfconfig.Version) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for v := after + 1; v <= to; v++ {
		b.reached[v] = append(b.reached[v], now)
	}
}

// timesReached returns when each node reached a version.
func (b *baseline) timesReached(v bfconfig.Version) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.reached[v]...)
}

func (b *baseline) stop() error {
	b.group.Cancel()
	return b.group.Wait()
}
