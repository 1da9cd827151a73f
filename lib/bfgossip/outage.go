package bfgossip

import (
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfroster"
)

// Outage reports that a whole failure domain is unreachable, or has returned.
// The larger Epoch wins.
//
// Sent member by member, the loss of a domain of 960 takes 16 kB, retransmitted
// many times as suspicions, as deaths, and as refutations when the domain
// returns; with 4 kB/s of control bandwidth per node this takes many minutes. An
// outage is one record that leaves the members' rows unchanged, so the loss and
// the return take a few dozen bytes each.
type Outage struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	Epoch  uint64 `cbor:"3,keyasint"`
	Lost   bool   `cbor:"4,keyasint,omitempty"`
}

// Check returns a bfcodec.Error if a field is out of range.
func (o Outage) Check() error {
	if len(o.Region) > bfroster.MaxFieldBytes || len(o.Domain) > bfroster.MaxFieldBytes || o.Epoch > bfroster.MaxSequence {
		return &bfcodec.Error{What: "outage", Reason: &bfroster.RowError{Field: "domain or epoch", Reason: "is out of range"}}
	}
	return nil
}

// Key returns the first key of the domain, which identifies the domain.
func (o Outage) Key() bfroster.Key { return bfroster.Key{Region: o.Region, Domain: o.Domain} }

// Outages holds the latest outage of each domain and the number of times it was sent.
type Outages struct {
	records map[bfroster.Key]*outageRecord
}

type outageRecord struct {
	outage Outage
	since  time.Time
	sent   int
}

// NewOutages returns an empty set.
func NewOutages() *Outages { return &Outages{records: map[bfroster.Key]*outageRecord{}} }

// Set replaces the outage of a domain.
func (o *Outages) Set(now time.Time, outage Outage) {
	o.records[outage.Key()] = &outageRecord{outage: outage, since: now}
}

// Len returns the number of domains that have a record.
func (o *Outages) Len() int { return len(o.records) }

// Lost reports whether a domain is lost.
func (o *Outages) Lost(domain bfroster.Key) bool {
	record, found := o.records[domain]
	return found && record.outage.Lost
}

// Epoch returns the epoch of a domain's latest outage, 0 if there is none.
func (o *Outages) Epoch(domain bfroster.Key) uint64 {
	if record, found := o.records[domain]; found {
		return record.outage.Epoch
	}
	return 0
}

// Since returns the time at which a domain's latest outage was set; false if there is none.
func (o *Outages) Since(domain bfroster.Key) (time.Time, bool) {
	record, found := o.records[domain]
	if !found {
		return time.Time{}, false
	}
	return record.since, true
}

// sorted returns the records ordered by domain.
func (o *Outages) sorted() []*outageRecord {
	return slices.SortedFunc(maps.Values(o.records), func(a, b *outageRecord) int {
		return a.outage.Key().Compare(b.outage.Key())
	})
}

// All lists the latest outage of every domain, for a node that joins.
func (o *Outages) All() []Outage {
	var list []Outage
	for _, record := range o.sorted() {
		list = append(list, record.outage)
	}
	return list
}

// Pack adds to news the outages sent fewer than limit times, and returns the rest
// of the budget in bytes.
func (o *Outages) Pack(news *News, budget, limit int) int {
	for _, record := range o.sorted() {
		size := EncodedSize(record.outage)
		if record.sent >= limit || size > budget {
			continue
		}
		record.sent++
		budget -= size
		news.Outages = append(news.Outages, record.outage)
	}
	return budget
}
