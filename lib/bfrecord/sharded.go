package bfrecord

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sharded is a Book for concurrent use: each ID belongs to one of several books with a lock of its own.
type Sharded struct {
	home   Home
	shards []shard
}

type shard struct {
	mu   sync.Mutex
	book *Book
	// Locks on one cache line would slow each other down.
	_ [48]byte
}

// NewSharded makes the empty books of home; all of limits but Running are shared out among them.
func NewSharded(home Home, limits Limits, shards int) *Sharded {
	limits.Records = max(limits.Records/shards, 1)
	limits.Scopes = max(limits.Scopes/shards, 1)
	limits.Bytes /= shards
	s := &Sharded{home: home, shards: make([]shard, shards)}
	for i := range s.shards {
		s.shards[i].book = NewBook(home, limits)
	}
	return s
}

// Home is the incarnation whose books these are.
func (s *Sharded) Home() Home { return s.home }

func (s *Sharded) shard(id ID) *shard {
	const odd = 0x9e3779b97f4a7c15
	hash := (xxhash.Sum64String(id.Entry.Instance) ^ id.Counter) * odd
	return &s.shards[(hash>>32)%uint64(len(s.shards))]
}

// Begin is Book.Begin.
func (s *Sharded) Begin(now time.Time, request Request) Verdict {
	of := s.shard(request.ID)
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.book.Begin(now, request)
}

// Finish is Book.Finish.
func (s *Sharded) Finish(now time.Time, id ID, answer Answer) error {
	of := s.shard(id)
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.book.Finish(now, id, answer)
}

// Abort is Book.Abort.
func (s *Sharded) Abort(now time.Time, id ID) error {
	of := s.shard(id)
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.book.Abort(now, id)
}

// Resolve is Book.Resolve.
func (s *Sharded) Resolve(now time.Time, id ID, home Home) Resolution {
	of := s.shard(id)
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.book.Resolve(now, id, home)
}

// Stats sums what the books hold.
func (s *Sharded) Stats() Stats {
	var sum Stats
	for i := range s.shards {
		sum = sum.plus(s.shards[i].stats())
	}
	return sum
}

func (s *shard) stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Stats()
}

func (s Stats) plus(o Stats) Stats {
	return Stats{
		records: s.records + o.records, running: s.running + o.running,
		scopes: s.scopes + o.scopes, bytes: s.bytes + o.bytes,
	}
}
