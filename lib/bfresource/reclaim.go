package bfresource

import (
	"slices"
	"time"
)

// slowAfter is how long a request may take to arrive before others get what it holds. A request of an ordinary
// size arrives within some round trips.
const slowAfter = 250 * time.Millisecond

// reclaimShare is the least share that is freed at once, so that the search for it is rare.
const reclaimShare = 32

// victim is a connection to close, or a request to give up.
type victim func()

// victims are ended without holding the budget's lock.
type victims []victim

func (v victims) end() {
	for _, end := range v {
		end()
	}
}

// weight is by how much a request that arrives burdens the others: what it holds, times how long it has held
// it. It is 0 for one that is not slow.
func weight(held int64, age time.Duration) float64 {
	if age < slowAfter {
		return 0
	}
	return float64(held) * age.Seconds()
}

// reclaim frees at least need bytes, as far as it can, for a request, nil for a connection: from requests that
// arrive slowly, the greatest weight first, then from idle connections, longest idle first. Requests of less
// weight than the asking one are left alone.
func (b *Budget) reclaim(asking *Request, need int64) victims {
	need = max(need, b.memory/reclaimShare)
	now := b.now()
	own := 0.0
	if asking != nil {
		own = weight(asking.held, now.Sub(asking.began))
	}
	var ended victims
	for _, r := range b.slow(now) {
		if need <= 0 {
			return ended
		}
		if r == asking || weight(r.held, now.Sub(r.began)) <= own {
			continue
		}
		need -= r.held
		ended = append(ended, b.giveUp(r))
	}
	for _, p := range b.ports {
		for need > 0 && p.idle.Len() > 0 {
			need -= connectionBytes
			ended = append(ended, b.closeIdle(p))
		}
	}
	return ended
}

// slow returns the requests that arrive slowly, the greatest weight first.
func (b *Budget) slow(now time.Time) []*Request {
	type weighted struct {
		request *Request
		weight  float64
	}
	var list []weighted
	for r := range b.arriving {
		if w := weight(r.held, now.Sub(r.began)); w > 0 {
			list = append(list, weighted{r, w})
		}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	requests := make([]*Request, len(list))
	for i, w := range list {
		requests[i] = w.request
	}
	return requests
}

// giveUp takes what an arriving request holds.
func (b *Budget) giveUp(r *Request) victim {
	b.counts.RequestsGivenUp++
	delete(b.arriving, r)
	r.givenUp.Store(true)
	b.held -= r.held
	r.held = 0
	return r.giveUp
}

// closeIdle closes the longest idle connection of a port.
func (b *Budget) closeIdle(p *Port) victim {
	c := p.idle.Front().Value.(*Conn)
	b.counts.IdleClosed++
	c.remove()
	return c.close
}

// makeRoom closes connections of a full port: the longest idle one, or else the slowest of those that have
// only one request, which arrives slowly.
func (b *Budget) makeRoom(p *Port) victims {
	if p.idle.Len() > 0 {
		return victims{b.closeIdle(p)}
	}
	now, room := b.now(), max(p.limit/reclaimShare, 1)
	var ended victims
	for _, r := range b.slow(now) {
		if len(ended) == room {
			break
		}
		if r.conn.port == p && r.conn.requests == 1 {
			b.giveUp(r)
			b.counts.SlowClosed++
			r.conn.remove()
			ended = append(ended, r.conn.close)
		}
	}
	return ended
}
