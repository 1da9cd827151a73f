package bfpacer

import (
	"context"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Pacer keeps long answers from filling the machine's link.
//
// All connections share the link's queue. A download written as fast as its
// connection takes it puts a window of bytes there, and each short answer behind
// a few of them comes a tenth of a second late on a slow link. Paced to what the
// link has left, downloads wait in the process instead, and short answers pass.
//
// The download that began first goes first: five at a time, each with a fifth of
// the link, would all end when the last one of a row ends.
type Pacer struct {
	timer *bftimer.Service
	// rate is in bytes a second; 0 means that nothing is paced.
	rate float64

	mu sync.Mutex
	// free is when the link has taken what was let go.
	free time.Time
	// begun counts the answers, backlog the bytes of those in progress.
	begun   uint64
	backlog int64
	// waiting holds the pieces that may not go yet, the answer that began first in front.
	waiting []*piece
	// armed says that next is going to be called.
	armed bool
}

// piece is a part of an answer that waits for the link.
type piece struct {
	answer  *Answer
	bytes   int
	granted chan struct{}
}

const (
	// pacedShare is the part of the link that all traffic together may take; what the
	// node does not count (connections, other calls) needs the rest. Measured over 30 s
	// of 66 instances on links of 5 Mbit/s, one run each: the median of look-ups was
	// 235 ms with 0.9 and 221 ms with 0.75, and more of both together were in time.
	pacedShare = 0.75
	// headerBytes is what a message takes beside its body: its header's lines and
	// those of its packets.
	headerBytes = 500
	// pacedFrom is the length from which an answer is long.
	pacedFrom = 16 << 10
	// Piece is the size of the pieces it is written in: 7 ms at 5 Mbit/s.
	Piece = 4 << 10
	// pacedBelow is the bandwidth in Mbit/s below which answers are paced; on a
	// faster link a download of 90 kB takes 7 ms at most.
	pacedBelow = 100
	// pacedLag is how much of the link's time may be made good after a timer that
	// fired late; more would fill the link's queue at once.
	pacedLag = 20 * time.Millisecond
)

// New makes the pacer of a link of a bandwidth in Mbit/s.
func New(timer *bftimer.Service, mbps float64) *Pacer {
	const bytesOfMbit = 1e6 / 8
	p := &Pacer{timer: timer}
	if mbps < pacedBelow {
		p.rate = mbps * bytesOfMbit * pacedShare
	}
	return p
}

// Paces reports whether an answer of that length is paced.
func (p *Pacer) Paces(length int64) bool {
	return p != nil && p.rate > 0 && (length < 0 || length >= pacedFrom)
}

// Charge counts a message that goes at once, with a body of a number of bytes, so
// that long answers leave it its part of the link.
func (p *Pacer) Charge(body int) {
	if p == nil || p.rate <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(body+headerBytes, p.timer.Now())
}

// take counts bytes that go to the link; it needs the lock.
func (p *Pacer) take(bytes int, now time.Time) {
	if late := now.Add(-pacedLag); p.free.Before(late) {
		p.free = late
	}
	p.free = p.free.Add(p.length(int64(bytes)))
}

// Backlog is how long the link takes for the long answers in progress.
func (p *Pacer) Backlog() time.Duration {
	if p == nil || p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length(p.backlog)
}

// length is how long the link takes for a number of bytes.
func (p *Pacer) length(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// Answer is one long answer on its way; End must be called.
type Answer struct {
	pacer *Pacer
	order uint64
	// left is what the answer still counts for in the backlog.
	left int64
}

// Begin takes a long answer of a length, negative where it is not known.
func (p *Pacer) Begin(length int64) *Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun++
	a := &Answer{pacer: p, order: p.begun, left: max(length, 0)}
	p.backlog += a.left
	return a
}

// End takes back what the answer counts for.
func (a *Answer) End() {
	a.pacer.mu.Lock()
	defer a.pacer.mu.Unlock()
	a.pacer.backlog -= a.left
	a.left = 0
}

// Wait waits until a number of bytes may go.
func (a *Answer) Wait(ctx context.Context, bytes int) error {
	w := a.pacer.enter(a, bytes)
	if w == nil {
		return nil
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		a.pacer.leave(w)
		return ctx.Err()
	}
}

// enter lets bytes go, or gives the piece that waits.
func (p *Pacer) enter(a *Answer, bytes int) *piece {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	if len(p.waiting) == 0 && !p.free.After(now) {
		p.grant(a, bytes, now)
		return nil
	}
	w := &piece{answer: a, bytes: bytes, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(p.waiting, w, func(x, y *piece) int {
		if x.answer.order < y.answer.order {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	p.arm(now)
	return w
}

// arm has next called once the link is free; it needs the lock.
func (p *Pacer) arm(now time.Time) {
	if p.armed || len(p.waiting) == 0 {
		return
	}
	p.armed = true
	p.timer.After(p.free.Sub(now), p.next)
}

// next lets the first piece go once the link is free.
func (p *Pacer) next(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	if len(p.waiting) > 0 && !p.free.After(now) {
		first := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.grant(first.answer, first.bytes, now)
		close(first.granted)
	}
	p.arm(now)
}

// grant lets bytes go; it needs the lock.
func (p *Pacer) grant(a *Answer, bytes int, now time.Time) {
	p.take(bytes, now)
	counted := min(int64(bytes), a.left)
	a.left -= counted
	p.backlog -= counted
}

// leave ends a wait.
func (p *Pacer) leave(w *piece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiting, w); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
}
