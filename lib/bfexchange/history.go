package bfexchange

import (
	"context"
	"hash/maphash"
	"slices"
	"time"
)

// history holds the requests that a connection has carried and that may be sent again. The answers to two
// sends of one request can't be told apart, since both have its ID, so no connection carries both.
type history struct{ carried []carriedRequest }

// carriedRequest is a request by the hash of its ID. It is not sent again after until, which is zero if
// that is not known.
type carriedRequest struct {
	id    uint64
	until time.Time
}

var historySeed = maphash.MakeSeed()

// historyID returns the hash by which histories hold a request, 0 for one whose answer is not matched.
func (c *Client) historyID(request *Request) uint64 {
	if c.options.IDHeader == "" || request.ID == "" {
		return 0
	}
	return maphash.String(historySeed, request.ID)
}

// add adds a request that is sent with ctx.
func (h *history) add(ctx context.Context, id uint64, now time.Time) {
	if len(h.carried) == cap(h.carried) {
		h.carried = slices.DeleteFunc(h.carried, func(r carriedRequest) bool { return !r.until.IsZero() && now.After(r.until) })
	}
	// Without a deadline until is zero.
	until, _ := ctx.Deadline()
	h.carried = append(h.carried, carriedRequest{id: id, until: until})
}

// has reports whether the connection has carried a request, or one whose ID has the same hash.
func (h *history) has(id uint64) bool {
	return slices.ContainsFunc(h.carried, func(r carriedRequest) bool { return r.id == id })
}
