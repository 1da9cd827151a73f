package bfpacer

import (
	"context"
	"slices"
	"sync"
	"time"

	"bilberryflow.org/lib/bflink"
	"bilberryflow.org/lib/bftimer"
)

// Pacer limits the rate at which long answers are written to the machine's link. It is
// safe for concurrent use, and a nil Pacer paces nothing.
//
// All connections share the link's queue. Unpaced downloads fill it with a TCP window
// each, which delays short answers on a slow link by a tenth of a second. Paced downloads
// wait in the process instead, where short answers overtake them.
//
// Downloads are served in the order in which they began, or in which room was reserved for them.
// Sharing the link evenly between them would end all of them as late as the last one.
type Pacer struct {
	timer *bftimer.Service
	// rate is in bytes per second; 0 disables pacing.
	rate float64

	mu sync.Mutex
	// freeAt is when the link has sent the bytes granted so far.
	freeAt time.Time
	// begun is the number of answers so far, backlog the unsent bytes of those in progress.
	begun   uint64
	backlog int64
	// link plans the answers that have not begun, nil if the link isn't paced.
	link *bflink.Link
	// waiting holds the pieces that wait for the link, in the order of their answers.
	waiting []*piece
	// scheduled is set while a timer for next is pending.
	scheduled bool
}

// piece is a part of an answer that waits for the link.
type piece struct {
	answer  *Answer
	bytes   int
	granted chan struct{}
}

const (
	// pacedShare is the least part of the bandwidth used by the traffic that the pacer counts.
	// The rest is for traffic that it doesn't count, such as connection set-up and calls.
	pacedShare = 0.75
	// headerBytes is the size of the headers of a message and its packets.
	headerBytes = 500
	// minPacedBytes is the length in bytes from which an answer is long.
	minPacedBytes = bflink.LongAnswer
	// Piece is the size in bytes in which long answers are written: 7 ms at 5 Mbit/s.
	Piece = 4 << 10
	// maxPacedMbps is the bandwidth in Mbit/s below which answers are paced. A faster link
	// sends a download of 90 kB in 7 ms.
	maxPacedMbps = 100
	// maxCatchUp bounds the idle time of the link that may be made up for after a late
	// timer. More would fill the link's queue.
	maxCatchUp = 20 * time.Millisecond
)

// New returns the pacer of a link with a bandwidth in Mbit/s.
func New(timer *bftimer.Service, mbps float64) *Pacer {
	p := &Pacer{timer: timer, rate: Rate(mbps)}
	if p.rate > 0 {
		p.link = bflink.New(p.rate)
	}
	return p
}

const bytesOfMbit = 1e6 / 8

// Paces reports whether an answer of a length in bytes, negative if unknown, is paced.
func (p *Pacer) Paces(length int64) bool {
	return p != nil && p.rate > 0 && (length < 0 || length >= minPacedBytes)
}

// Charge counts a message that is sent without pacing, so that long answers leave room for
// it. Body is the length of its body in bytes.
func (p *Pacer) Charge(body int) {
	if p == nil || p.rate <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.take(body+headerBytes, p.timer.Now())
}

// take counts bytes sent on the link. The caller must hold mu.
func (p *Pacer) take(bytes int, now time.Time) {
	if late := now.Add(-maxCatchUp); p.freeAt.Before(late) {
		p.freeAt = late
	}
	p.freeAt = p.freeAt.Add(p.duration(int64(bytes)))
}

// Backlog returns how long the link needs for the rest of the long answers in progress and for those
// of requests that run.
func (p *Pacer) Backlog() time.Duration {
	if p == nil || p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duration(p.backlog + p.link.Reserved())
}

// duration returns how long the link needs for a number of bytes.
func (p *Pacer) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.rate * float64(time.Second))
}

// Answer is one long answer in progress; End must be called.
type Answer struct {
	pacer *Pacer
	order uint64
	// left is the number of bytes of the answer in the backlog.
	left int64
}

// Begin starts a long answer of a length in bytes, negative if unknown.
func (p *Pacer) Begin(length int64) *Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun++
	return p.begin(max(length, 0), p.begun)
}

// begin starts an answer at a place in the order. The caller must hold mu.
func (p *Pacer) begin(length int64, order uint64) *Answer {
	a := &Answer{pacer: p, order: order, left: length}
	p.backlog += a.left
	return a
}

// End removes the answer from the backlog.
func (a *Answer) End() {
	a.pacer.mu.Lock()
	defer a.pacer.mu.Unlock()
	a.pacer.backlog -= a.left
	a.left = 0
}

// Wait waits until a number of bytes may be sent. It returns the error of ctx if that ends
// first.
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

// enter grants the bytes at once and returns nil, or queues a piece and returns it.
func (p *Pacer) enter(a *Answer, bytes int) *piece {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	if len(p.waiting) == 0 && !p.freeAt.After(now) {
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
	p.schedule(now)
	return w
}

// schedule schedules next for when the link is free. The caller must hold mu.
func (p *Pacer) schedule(now time.Time) {
	if p.scheduled || len(p.waiting) == 0 {
		return
	}
	p.scheduled = true
	p.timer.After(p.freeAt.Sub(now), p.next)
}

// next grants the first waiting piece if the link is free.
func (p *Pacer) next(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduled = false
	if len(p.waiting) > 0 && !p.freeAt.After(now) {
		first := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.grant(first.answer, first.bytes, now)
		close(first.granted)
	}
	p.schedule(now)
}

// grant counts bytes of an answer as sent. The caller must hold mu.
func (p *Pacer) grant(a *Answer, bytes int, now time.Time) {
	p.take(bytes, now)
	counted := min(int64(bytes), a.left)
	a.left -= counted
	p.backlog -= counted
}

// leave removes a waiting piece.
func (p *Pacer) leave(w *piece) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.waiting, w); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
	}
}
