package bfproof

import (
	"sync"
	"time"
)

const (
	// clockRates is the share by which an interval that was measured by two clocks may differ: each
	// clock is at most 1 % off.
	clockRates = 0.02
	// rounding is the error of an interval between two readings in milliseconds.
	rounding = 2 * time.Millisecond
	// feedSilence is how long the store's change feed may deliver no events while changes are made,
	// before it reports that its history is gone. It is about a second; the rest is a margin.
	feedSilence = 1100 * time.Millisecond
	// knowsWithin is the age of a proof up to which an unknown key is invalid and not new. A new
	// version must be in force everywhere 2.5 s after the store acknowledged it.
	knowsWithin = 2 * time.Second
	// staleAfter is the age of a proof from which a node looks for a younger one. Where the store
	// answers, proofs are younger; the rest of the usual 5 s is left for the search.
	staleAfter = 1900 * time.Millisecond
	// firstEra is the era of a store that was never restored from a copy.
	firstEra = 1
)

// Source is how a node obtained a proof.
type Source int

const (
	// FullRead is a read of the whole table by the node itself.
	FullRead Source = iota
	// Feed is an answer of the store's change feed to the node itself.
	Feed
	// Update is an update that another node sent.
	Update
	// Reply is another node's reply to a poll.
	Reply
	// sources is the number of sources.
	sources
)

// String returns the name of the source in metrics.
func (s Source) String() string {
	return [sources]string{"full_read", "feed", "update", "reply"}[s]
}

// Sources returns all sources.
func Sources() []Source { return []Source{FullRead, Feed, Update, Reply} }

// Read is a read of the store whose result is applied.
type Read struct {
	// Began is when the call began.
	Began time.Duration
	// Feed states that the change feed answered and not a read of the whole table.
	Feed bool
	// Era is the era of the store in the answer, 0 if the store has none.
	Era uint64
	// Settled states that this node has run long enough, in contact with other nodes, to have
	// received the newest version that any of them holds.
	Settled bool
}

// Proof is a node's youngest proof. Moments are readings of the node's own clock. The zero value
// of a moment has no meaning, so that a clock may begin anywhere. It is safe for concurrent use.
type Proof struct {
	within time.Duration

	mu    sync.Mutex
	held  bool
	start time.Duration
	// era is the newest era in which the node may rely on its reads.
	era   uint64
	count [sources]int64
}

// New returns a node's proof, of which there is none yet. A key must not be honoured for requests
// sent later than within after its removal was acknowledged.
func New(within time.Duration) *Proof { return &Proof{within: within} }

// TakeRead takes the proof of a read, and reports whether it is younger than the one held. The read
// proves that the version in force was the newest when its call began: afterwards the store may have
// acknowledged others.
//
// The first read of an era proves nothing if the node has no proof at that time: the versions that
// the store lost when it was restored may have removed keys, and only other nodes know them. A
// node with a proof holds all versions that were acknowledged longer than within before the
// restore.
func (p *Proof) TakeRead(now time.Duration, read Read) bool {
	source, start := FullRead, read.Began
	if read.Feed {
		source, start = Feed, start-feedSilence
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if read.Era > firstEra && read.Era > p.era && !p.honours(now) && !read.Settled {
		return false
	}
	p.era = max(p.era, read.Era)
	return p.take(now, start, source)
}

// TakeMessage takes the proof that another node's message carries, and reports whether it is younger
// than the one held. The version in force must be at least that of the sender. The era is the newest
// one known to this node.
func (p *Proof) TakeMessage(now, start time.Duration, era uint64, source Source) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	younger := p.take(now, start, source)
	if p.honours(now) {
		p.era = max(p.era, era)
	}
	return younger
}

func (p *Proof) take(now, start time.Duration, source Source) bool {
	// A moment in the future is one of another process's clock.
	if start > now || p.held && start <= p.start {
		return false
	}
	p.held, p.start = true, start
	p.count[source]++
	return true
}

// Start returns the moment of the proof; ok is false if there is none.
func (p *Proof) Start() (start time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.start, p.held
}

// Count returns how many proofs from a source were the youngest.
func (p *Proof) Count(source Source) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count[source]
}

// HonoursKeys reports whether API keys of the version in force may be honoured.
//
// It must be called before the version in force is read for the same request. In the reverse order
// a key of an old version could be honoured with the proof of a newer one.
func (p *Proof) HonoursKeys(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.honours(now)
}

func (p *Proof) honours(now time.Duration) bool { return p.youngerThan(now, p.limit()) }

// limit is the age at which keys are no longer honoured: less than within, since this node's clock
// may be slow.
func (p *Proof) limit() time.Duration {
	return p.within - time.Duration(float64(p.within)*clockRates) - rounding
}

// KnowsKeys reports whether an unknown API key is invalid and not new. Like HonoursKeys it must be
// called before the version in force is read.
func (p *Proof) KnowsKeys(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.youngerThan(now, min(knowsWithin, p.limit()))
}

// IsStale reports whether the node should look for a younger proof.
func (p *Proof) IsStale(now time.Duration) bool { return p.IsStaleFor(now, 0) }

// IsStaleFor reports whether the proof has been stale for at least a time.
func (p *Proof) IsStaleFor(now, span time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.youngerThan(now, p.staleAfter()+span)
}

// staleAfter is less than staleAfter for short limits, so that there is time to find a proof.
func (p *Proof) staleAfter() time.Duration {
	const share = 0.4
	return min(staleAfter, time.Duration(float64(p.within)*share))
}

func (p *Proof) youngerThan(now, age time.Duration) bool { return p.held && now-p.start < age }

// Sent returns the moment of the proof in a message, by the receiver's clock. The sender held the
// receiver's reading for a time before it sent the message, and its proof had an age then; both are
// measured by the sender's clock. The result is never later than the true moment: the time that the
// message took after that doesn't count.
func Sent(reading, held, age time.Duration) time.Duration {
	return reading + held - age - time.Duration(float64(held+age)*clockRates) - rounding
}
