package bfresource

import (
	"cmp"
	"slices"
	"time"
)

// slowAfter is how long a client may pause within a request, and how long a request may take to arrive, before
// others get what it holds. A request of an ordinary size arrives within some round trips.
const slowAfter = 250 * time.Millisecond

// reclaimShare is the least share that is freed at once, so that the search for it is rare.
const reclaimShare = 32

// victim is a connection to close, or a request to evict.
type victim func()

// victims are ended without holding the budget's lock.
type victims []victim

func (v victims) end() {
	for _, end := range v {
		end()
	}
}

// burden is by how much a request that arrives burdens the others.
type burden struct {
	request *Request
	// late is set if the node waits for the client, which sends too slowly.
	late bool
	// weight is what the request holds, times how long it has been arriving.
	weight float64
}

// burdenOf returns the burden of a request, and whether others may get what it holds.
func (r *Request) burdenOf(now time.Time) (burden, bool) {
	age := now.Sub(r.began)
	b := burden{request: r, late: r.reading && r.pace.Late(now) >= 0, weight: float64(r.held) * age.Seconds()}
	return b, age >= slowAfter
}

// compare orders burdens, the one that is evicted first before the others.
func (b burden) compare(other burden) int {
	switch {
	case b.late != other.late && b.late:
		return -1
	case b.late != other.late:
		return 1
	}
	return cmp.Compare(other.weight, b.weight)
}

// burdens returns the requests that others may get the memory of, the one that is evicted first before the others.
func (b *Budget) burdens(now time.Time) []burden {
	var list []burden
	for r := range b.arriving {
		if of, ok := r.burdenOf(now); ok {
			list = append(list, of)
		}
	}
	slices.SortFunc(list, burden.compare)
	return list
}

// reclaim frees at least need bytes for a request, nil for a connection: from requests that arrive too slowly, then
// from the others that are still arriving, each the greatest weight first, then from idle connections, longest idle
// first. Requests that burden less than the asking one are left alone. If that is not enough it frees nothing.
func (b *Budget) reclaim(asking *Request, need int64) victims {
	requests := b.reclaimable(asking)
	if need > b.sum(requests) {
		return nil
	}
	need = max(need, b.memory/reclaimShare)
	var ended victims
	for _, r := range requests {
		if need <= 0 {
			break
		}
		need -= r.held
		ended = append(ended, b.evict(r))
	}
	for _, p := range b.ports {
		for need > 0 {
			c := p.longestIdle()
			if c == nil {
				break
			}
			need -= c.held
			ended = append(ended, b.closeIdle(c))
		}
	}
	return ended
}

// reclaimable returns the requests that may be evicted for one that asks, nil for a connection.
func (b *Budget) reclaimable(asking *Request) (requests []*Request) {
	now := b.now()
	var own burden
	if asking != nil {
		own, _ = asking.burdenOf(now)
	}
	for _, of := range b.burdens(now) {
		if asking != nil && of.compare(own) >= 0 {
			break
		}
		requests = append(requests, of.request)
	}
	return requests
}

// sum returns what requests and all idle connections hold.
func (b *Budget) sum(requests []*Request) (bytes int64) {
	for _, r := range requests {
		bytes += r.held
	}
	for _, p := range b.ports {
		bytes += int64(p.idle.Len()) * connectionBytes
	}
	return bytes
}

// evict takes what an arriving request holds.
func (b *Budget) evict(r *Request) victim {
	b.counts.RequestsEvicted++
	delete(b.arriving, r)
	r.evicted.Store(true)
	b.held -= r.held
	r.held = 0
	return func() {
		if !r.hasEnded() {
			r.evict()
		}
	}
}

// maxIdleSearch bounds the connections that are looked at for one without bytes.
const maxIdleSearch = 16

// longestIdle returns the connection that has been idle for the longest time of those without unread bytes, which may
// be a request; nil if there is none.
func (p *Port) longestIdle() *Conn {
	element := p.idle.Front()
	for range maxIdleSearch {
		if element == nil {
			return nil
		}
		if c := element.Value.(*Conn); !c.hasUnread() {
			return c
		}
		element = element.Next()
	}
	return nil
}

// closeIdle closes an idle connection.
func (b *Budget) closeIdle(c *Conn) victim {
	b.counts.IdleClosed++
	c.remove()
	return c.close
}

// hasEnded reports whether the request has ended: its connection may have another one.
func (r *Request) hasEnded() bool {
	b := r.conn.port.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.ended
}

// makeRoom closes connections of a full port: the longest idle one, or else some of those that have only one request,
// which arrives too slowly. Bytes that are there and unread show that the node is slow and not the client.
func (b *Budget) makeRoom(p *Port) victims {
	if c := p.longestIdle(); c != nil {
		return victims{b.closeIdle(c)}
	}
	room := max(p.limit/reclaimShare, 1)
	var ended victims
	for _, of := range b.burdens(b.now()) {
		if len(ended) == room || !of.late {
			break
		}
		c := of.request.conn
		if c.port == p && c.requests == 1 && !c.hasUnread() {
			b.evict(of.request)
			b.counts.SlowClosed++
			c.remove()
			ended = append(ended, c.close)
		}
	}
	return ended
}
