package bfrecord

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardedTracker is a Tracker for concurrent use, sharded by request ID with a lock per shard.
type ShardedTracker struct {
	home   NodeIncarnation
	shards []shard
}

type shard struct {
	mu      sync.Mutex
	tracker *Tracker
	// Padding avoids false sharing of locks on one cache line.
	_ [48]byte
}

// NewShardedTracker returns an empty ShardedTracker for home. Each shard gets an equal part of
// the Records, Scopes and Bytes limits; the other limits apply to each shard in full.
func NewShardedTracker(home NodeIncarnation, limits Limits, shardCount int) *ShardedTracker {
	limits.Records = max(limits.Records/shardCount, 1)
	limits.Scopes = max(limits.Scopes/shardCount, 1)
	limits.Bytes /= shardCount
	s := &ShardedTracker{home: home, shards: make([]shard, shardCount)}
	for i := range s.shards {
		s.shards[i].tracker = NewTracker(home, limits)
	}
	return s
}

// Home returns the incarnation whose requests are tracked.
func (s *ShardedTracker) Home() NodeIncarnation { return s.home }

func (s *ShardedTracker) shard(id ID) *shard {
	const multiplier = 0x9e3779b97f4a7c15 // Fibonacci hashing: 2^64 divided by the golden ratio
	hash := (xxhash.Sum64String(id.Entry.Instance) ^ id.Counter) * multiplier
	return &s.shards[(hash>>32)%uint64(len(s.shards))]
}

// Begin calls Tracker.Begin on the ID's shard.
func (s *ShardedTracker) Begin(now time.Time, request Request) Verdict {
	locked := s.shard(request.ID)
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.tracker.Begin(now, request)
}

// Finish calls Tracker.Finish on the ID's shard.
func (s *ShardedTracker) Finish(now time.Time, id ID, answer Answer) error {
	locked := s.shard(id)
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.tracker.Finish(now, id, answer)
}

// Abort calls Tracker.Abort on the ID's shard.
func (s *ShardedTracker) Abort(now time.Time, id ID) error {
	locked := s.shard(id)
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.tracker.Abort(now, id)
}

// Resolve calls Tracker.Resolve on the ID's shard.
func (s *ShardedTracker) Resolve(now time.Time, id ID, home NodeIncarnation) Resolution {
	locked := s.shard(id)
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.tracker.Resolve(now, id, home)
}

// Stats returns the sum of the shards' counters.
func (s *ShardedTracker) Stats() Stats {
	var sum Stats
	for i := range s.shards {
		sum = sum.add(s.shards[i].stats())
	}
	return sum
}

func (s *shard) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Stats()
}

func (s Stats) add(o Stats) Stats {
	return Stats{
		records: s.records + o.records, running: s.running + o.running,
		scopes: s.scopes + o.scopes, bytes: s.bytes + o.bytes,
	}
}
