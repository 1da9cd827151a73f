package bfgossip

import (
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfroster"
)

// Outage says that a whole failure domain is out of reach, or back.
//
// The loss of a domain of 960 told member by member is 16 kB, each told many
// times and told again as deaths and once more as refutations when the domain
// comes back: at 4 kB a second the fleet is busy with it for many minutes. An
// outage is one record that leaves the members' rows as they are, so both the
// loss and the return cost a few dozen bytes. The larger Epoch wins.
type Outage struct {
	Region string `cbor:"1,keyasint,omitempty"`
	Domain string `cbor:"2,keyasint,omitempty"`
	Epoch  uint64 `cbor:"3,keyasint"`
	Lost   bool   `cbor:"4,keyasint,omitempty"`
}

// Check refuses an outage that can't be of a domain.
func (o Outage) Check() error {
	if len(o.Region) > bfroster.MaxText || len(o.Domain) > bfroster.MaxText || o.Epoch > bfroster.MaxSequence {
		return &bfcodec.Error{What: "outage", Reason: &bfroster.RowError{Field: "domain or epoch", Reason: "is out of range"}}
	}
	return nil
}

// Key is the first key of the outage's domain, which names the domain.
func (o Outage) Key() bfroster.Key { return bfroster.Key{Region: o.Region, Domain: o.Domain} }

// Outages holds the latest outage known of each domain, and tells them.
type Outages struct {
	records map[bfroster.Key]*outageRecord
}

type outageRecord struct {
	outage Outage
	since  time.Time
	sent   int
}

// NewOutages makes an empty set.
func NewOutages() *Outages { return &Outages{records: map[bfroster.Key]*outageRecord{}} }

// Set takes the latest outage of a domain.
func (o *Outages) Set(now time.Time, outage Outage) {
	o.records[outage.Key()] = &outageRecord{outage: outage, since: now}
}

// Len is how many domains ever had an outage.
func (o *Outages) Len() int { return len(o.records) }

// Lost reports whether a domain is lost.
func (o *Outages) Lost(domain bfroster.Key) bool {
	record, found := o.records[domain]
	return found && record.outage.Lost
}

// Epoch is the number of a domain's latest outage, 0 where it never had one.
func (o *Outages) Epoch(domain bfroster.Key) uint64 {
	if record, found := o.records[domain]; found {
		return record.outage.Epoch
	}
	return 0
}

// Since is when a domain was lost or came back; false where it was never lost.
func (o *Outages) Since(domain bfroster.Key) (time.Time, bool) {
	record, found := o.records[domain]
	if !found {
		return time.Time{}, false
	}
	return record.since, true
}

// sorted lists the records by domain.
func (o *Outages) sorted() []*outageRecord {
	return slices.SortedFunc(maps.Values(o.records), func(a, b *outageRecord) int {
		return a.outage.Key().Compare(b.outage.Key())
	})
}

// All lists what a node without any knowledge needs.
func (o *Outages) All() []Outage {
	var list []Outage
	for _, record := range o.sorted() {
		list = append(list, record.outage)
	}
	return list
}

// Pack adds to news the outages not told limit times, and returns what is left of the budget.
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
