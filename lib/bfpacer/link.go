package bfpacer

import (
	"time"

	"bilberryflow.org/lib/bflink"
)

// unpacedBytes is the bandwidth in bytes per second that stays free for traffic that the pacer
// doesn't count: a quarter of a link of 5 Mbit/s. That traffic doesn't grow with the link, apart
// from the headers of packets, for which minUnpacedShare stays free on any link.
const (
	unpacedBytes    = 156_250
	minUnpacedShare = 0.08
)

// Rate returns the rate of long answers on a link with a bandwidth in Mbit/s, in bytes per second; 0
// if they are not paced.
func Rate(mbps float64) float64 {
	if mbps <= 0 || mbps >= maxPacedMbps {
		return 0
	}
	bandwidth := mbps * bytesOfMbit
	return bandwidth - min(max(unpacedBytes, minUnpacedShare*bandwidth), (1-pacedShare)*bandwidth)
}

// Reservation is the room on the link of one request that runs. Its methods may be called on nil.
type Reservation struct {
	pacer *Pacer
	held  *bflink.Reservation
	// order is the place of the answer among those of the link.
	order uint64
}

// Admit reserves room for the answer to a request. It returns a *bflink.FullError if the answer can't be
// in time, and a nil Reservation if it needs none.
func (p *Pacer) Admit(request bflink.Request) (*Reservation, error) {
	return p.reserve(request, func(now time.Time, unsent int64) (*bflink.Reservation, error) {
		return p.link.Admit(now, unsent, request)
	})
}

// Reserve is Admit for a request whose objective is unknown. It is not refused.
func (p *Pacer) Reserve(request bflink.Request) *Reservation {
	// The function returns no error.
	held, _ := p.reserve(request, func(now time.Time, _ int64) (*bflink.Reservation, error) {
		return p.link.Reserve(now, request), nil
	})
	return held
}

func (p *Pacer) reserve(request bflink.Request, admit func(now time.Time, unsent int64) (*bflink.Reservation, error)) (*Reservation, error) {
	if p == nil || p.rate <= 0 {
		return nil, nil //nolint:nilnil // A nil Reservation is valid.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link.Expected(request) < bflink.LongAnswer {
		return nil, nil //nolint:nilnil // A nil Reservation is valid.
	}
	now := p.timer.Now()
	held, err := admit(now, p.backlog+p.pendingBytes(now))
	if err != nil {
		return nil, err
	}
	p.begun++
	return &Reservation{pacer: p, held: held, order: p.begun}, nil
}

// pendingBytes returns the bytes granted that the link has not sent yet. The caller must hold mu.
func (p *Pacer) pendingBytes(now time.Time) int64 {
	return int64(max(p.freeAt.Sub(now), 0).Seconds() * p.rate)
}

// End removes the reservation; further calls do nothing.
func (r *Reservation) End() {
	if r == nil {
		return
	}
	r.pacer.mu.Lock()
	defer r.pacer.mu.Unlock()
	r.pacer.link.End(r.held)
}

// BeginReserved is Begin for an answer for which room may have been reserved, nil for none. The
// reservation ends. The answer is sent in the order of the reservations: one that begins later
// than planned is not sent after those admitted behind it.
func (p *Pacer) BeginReserved(length int64, r *Reservation) *Answer {
	if r == nil {
		return p.Begin(length)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.End(r.held)
	if length < 0 {
		length = r.held.Bytes()
	}
	return p.begin(length, r.order)
}

// Observe adds the length of an answer to the mean of its class.
func (p *Pacer) Observe(class string, bytes int64) {
	if p == nil || p.rate <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link.Observe(class, bytes)
}

// Duration returns how long the link needs for a number of bytes, 0 if it isn't paced.
func (p *Pacer) Duration(bytes int64) time.Duration {
	if p == nil || p.rate <= 0 {
		return 0
	}
	return p.duration(bytes)
}

// Reserved returns how long the link needs for the answers that are reserved and have not begun.
func (p *Pacer) Reserved() time.Duration {
	if p == nil || p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.duration(p.link.Reserved())
}

// Refused returns the number of requests refused because of the link.
func (p *Pacer) Refused() int64 {
	if p == nil || p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link.Refused()
}
