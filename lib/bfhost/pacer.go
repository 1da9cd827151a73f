package bfhost

import (
	"context"
	"sync"
	"time"

	"bilberryflow.org/lib/bftimer"
)

// Pacer keeps long answers from filling the machine's link.
//
// All connections share the link's queue. A download written as fast as its
// connection takes it puts a window of bytes there, and each short answer behind
// a few of them comes a tenth of a second late on a slow link. Paced below the
// link's rate, downloads wait in the process instead, and short answers pass.
type Pacer struct {
	timer *bftimer.Service
	// rate is in bytes a second; 0 means that nothing is paced.
	rate float64

	mu   sync.Mutex
	free time.Time
}

const (
	// pacedShare is the part of the link that long answers get.
	pacedShare = 0.8
	// pacedFrom is the length from which an answer is long.
	pacedFrom = 16 << 10
	// pacedPiece is the size of the pieces it is written in: 7 ms at 5 Mbit/s.
	pacedPiece = 4 << 10
	// pacedBelow is the bandwidth in Mbit/s below which answers are paced; on a
	// faster link a download of 90 kB takes 7 ms at most.
	pacedBelow = 100
)

// NewPacer makes the pacer of a link of a bandwidth in Mbit/s.
func NewPacer(timer *bftimer.Service, mbps float64) *Pacer {
	const bytesOfMbit = 1e6 / 8
	p := &Pacer{timer: timer}
	if mbps < pacedBelow {
		p.rate = mbps * bytesOfMbit * pacedShare
	}
	return p
}

// wait waits until a number of bytes may go.
func (p *Pacer) wait(ctx context.Context, bytes int) error {
	p.mu.Lock()
	now := p.timer.Now()
	if p.free.Before(now) {
		p.free = now
	}
	at := p.free
	p.free = at.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	p.mu.Unlock()
	if !at.After(now) {
		return nil
	}
	return p.timer.Wait(ctx, at.Sub(now))
}

// paces reports whether an answer of that length is paced.
func (p *Pacer) paces(length int64) bool {
	return p != nil && p.rate > 0 && (length < 0 || length >= pacedFrom)
}
