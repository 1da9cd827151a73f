package bfdeploy

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrollout"
)

// Method is the name of the call between nodes.
const Method = "rollout"

// message is the request of a call.
type message struct {
	Peer string `json:"peer"`
	// Records are bfrollout.Records in CBOR.
	Records []byte `json:"records,omitempty"`
	// Compare requests all records of the receiver.
	Compare bool `json:"compare,omitempty"`
	// Counts is a report in CBOR.
	Counts []byte `json:"counts,omitempty"`
}

// reply is the response to a message; Records is set if Compare was.
type reply struct {
	Records []byte `json:"records,omitempty"`
}

// report holds the newest counts of an entry for an order.
type report struct {
	Order bfrollout.Order  `cbor:"1,keyasint"`
	Entry string           `cbor:"2,keyasint"`
	Cells []bfrollout.Cell `cbor:"3,keyasint"`
}

// Methods returns the calls that the conductor serves.
func (c *Conductor) Methods() bfpeer.Methods {
	return bfpeer.Methods{Method: {Purpose: bfpeer.Repair, Handle: c.handle}}
}

func (c *Conductor) handle(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	if err := c.Merge(m.Records); err != nil {
		return nil, err
	}
	if len(m.Counts) > 0 {
		var r report
		if err := bfcodec.Unmarshal(m.Counts, "counts of a roll-out", &r); err != nil {
			return nil, err
		}
		if held := c.config.Book.Of(r.Order.Service); held != nil && held.Order().Restates(r.Order) {
			held.Ledger().Add(r.Entry, r.Cells)
		}
	}
	if !m.Compare {
		return reply{}, nil
	}
	data, err := c.Encode()
	return reply{Records: data}, err
}

// Encode returns this node's records in CBOR, nothing if there are none.
func (c *Conductor) Encode() ([]byte, error) {
	records := c.config.Book.Records()
	if len(records) == 0 {
		return nil, nil
	}
	return bfcodec.Marshal(records)
}

// Merge merges the records that another node has encoded, and forwards them if they are new.
func (c *Conductor) Merge(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var records []bfrollout.Record
	if err := bfcodec.Unmarshal(data, "records of roll-outs", &records); err != nil {
		return err
	}
	if c.config.Book.Merge(records) {
		c.forward.Store(true)
	}
	return nil
}

// report sends this node's counts to the judges.
func (c *Conductor) report(r *bfrollout.Rollout, now time.Time) {
	cells := r.Tally().Cells()
	if len(cells) == 0 {
		return
	}
	r.Ledger().Add(c.config.Inbound, cells)
	if now.Sub(c.reported[r.Order().Service]) < reportInterval {
		return
	}
	c.reported[r.Order().Service] = now
	data, err := bfcodec.Marshal(report{Order: r.Order(), Entry: c.config.Inbound, Cells: cells})
	if err != nil {
		c.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	for _, judge := range bfrollout.Judges(r.Order(), c.nodes()) {
		c.send(judge.Peer, message{Peer: c.config.Self, Counts: data})
	}
}

// broadcastOwn sends the records after a change that this node made: also to the nodes beside
// targets of the new version, which enforce it.
func (c *Conductor) broadcastOwn(order bfrollout.Order) {
	peers := c.config.Recipients(true)
	for _, m := range c.config.Fleet.Members() {
		if m.Service == order.Service && m.Version == order.Version && !slices.Contains(peers, m.Peer) {
			peers = append(peers, m.Peer)
		}
	}
	c.broadcast(peers)
}

func (c *Conductor) broadcast(peers []string) {
	data, err := c.Encode()
	if err != nil {
		c.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	for _, peer := range peers {
		c.send(peer, message{Peer: c.config.Self, Records: data})
	}
}

// send sends a message without waiting for it. A record that is lost is repaired by a comparison,
// counts are sent again with the next report.
func (c *Conductor) send(peer string, m message) {
	if peer == c.config.Self || peer == "" {
		return
	}
	c.config.Spawn("send roll-out", func(ctx context.Context) error {
		var ignored reply
		_ = c.call(ctx, peer, m, &ignored)
		return nil
	})
}

func (c *Conductor) call(ctx context.Context, peer string, m message, result *reply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Calls.Call(ctx, peer, Method, m, result)
}

const (
	// convergeDelay is how long digests may differ because of messages in transit.
	convergeDelay = 50 * time.Millisecond
	// minCompareInterval is the minimum time between two comparisons that a node starts.
	minCompareInterval = 500 * time.Millisecond
)

// Digest identifies this node's records; it is piggybacked on messages to other nodes.
func (c *Conductor) Digest() uint64 { return c.config.Book.Digest() }

// ObserveDigest receives the digest of a peer, and exchanges all records with the peer if it still
// differs after convergeDelay.
func (c *Conductor) ObserveDigest(peer string, digest uint64) {
	if digest == c.Digest() || !c.comparing.CompareAndSwap(false, true) {
		return
	}
	c.config.Spawn("compare roll-outs", func(ctx context.Context) error {
		defer c.comparing.Store(false)
		if c.config.Timer.Wait(ctx, convergeDelay) != nil || digest == c.Digest() {
			return nil
		}
		c.compare(ctx, peer)
		// An error means that the node stops.
		_ = c.config.Timer.Wait(ctx, minCompareInterval)
		return nil
	})
}

func (c *Conductor) compare(ctx context.Context, peer string) {
	data, err := c.Encode()
	if err != nil {
		c.config.Logger.Emit(bflog.InvariantBroken, bflog.Err(err))
		return
	}
	var response reply
	if c.call(ctx, peer, message{Peer: c.config.Self, Records: data, Compare: true}, &response) == nil {
		// Records that can't be decoded are requested again after the next differing digest.
		_ = c.Merge(response.Records)
	}
}

func orderAttr(order bfrollout.Order) slog.Attr {
	return slog.Group("order", slog.String("service", order.Service), slog.String("version", order.Version),
		slog.Duration("duration", order.Duration), slog.String("revision", order.Revision.String()))
}

// logDecision logs a decision with the counts that this node has.
func (c *Conductor) logDecision(event bflog.Event, r *bfrollout.Rollout, reason string) {
	old, renewed := r.Ledger().Totals()
	record := r.Record(c.config.Timer.Now())
	c.config.Logger.Emit(event, orderAttr(r.Order()), slog.String("reason", reason), slog.Duration("elapsed", record.Elapsed),
		slog.Int("requests_new", renewed), slog.Int("requests_old", old))
}
