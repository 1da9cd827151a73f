package bfgossip

import "bilberryflow.org/lib/bfroster"

// Message is the sealed set of what members send one another.
type Message interface{ kind() byte }

// Advert rides on every probe and ack, so that differing views are noticed.
type Advert struct {
	// Version is the configuration version the sender holds.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Digest is the first 8 bytes of that version's digest.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Members is the digest of the sender's view of the fleet.
	Members uint64 `cbor:"3,keyasint"`
	// Quarantine is the digest of the requests that the sender knows to end targets.
	Quarantine uint64 `cbor:"4,keyasint,omitempty" json:",omitempty"`
}

// News is what a probe or ack tells of members, within a byte budget.
type News struct {
	Rows   []bfroster.Row `cbor:"1,keyasint,omitempty"`
	Marks  []Mark         `cbor:"2,keyasint,omitempty"`
	Losses []Loss         `cbor:"3,keyasint,omitempty"`
	// Outages are of whole domains.
	Outages []Outage `cbor:"4,keyasint,omitempty"`
}

// Mark is a row without what stays the same within an incarnation.
type Mark struct {
	Hash        uint64               `cbor:"1,keyasint"`
	Incarnation uint64               `cbor:"2,keyasint"`
	Sequence    uint64               `cbor:"3,keyasint,omitempty"`
	Target      bfroster.TargetState `cbor:"4,keyasint,omitempty"`
	Slots       uint32               `cbor:"5,keyasint,omitempty"`
}

// Probe asks a member for an Ack.
type Probe struct {
	From   uint64 `cbor:"1,keyasint"`
	Nonce  uint32 `cbor:"2,keyasint"`
	Advert Advert `cbor:"3,keyasint"`
	News   News   `cbor:"4,keyasint,omitzero"`
}

// Ack answers a Probe, or a ProbeRequest whose target answered.
type Ack struct {
	From   uint64 `cbor:"1,keyasint"`
	Nonce  uint32 `cbor:"2,keyasint"`
	Advert Advert `cbor:"3,keyasint"`
	News   News   `cbor:"4,keyasint,omitzero"`
	// Introduce asks the prober to tell its whole row, which the sender lacks.
	Introduce bool `cbor:"5,keyasint,omitempty"`
}

// ProbeRequest asks a member to probe another for the sender.
type ProbeRequest struct {
	From   uint64 `cbor:"1,keyasint"`
	Nonce  uint32 `cbor:"2,keyasint"`
	Target uint64 `cbor:"3,keyasint"`
}

// Summary opens a repair: the digests of the 64 buckets of the sender's view.
type Summary struct {
	Self    bfroster.Row `cbor:"1,keyasint"`
	Buckets []byte       `cbor:"2,keyasint"`
	Outages []Outage     `cbor:"3,keyasint,omitempty"`
}

// Detail answers a Summary: for buckets that differ, the digests of their 64 cells.
type Detail struct {
	Self    bfroster.Row   `cbor:"1,keyasint"`
	Buckets []BucketDetail `cbor:"2,keyasint"`
}

// BucketDetail is one bucket's cells.
type BucketDetail struct {
	Bucket uint8  `cbor:"1,keyasint"`
	Cells  []byte `cbor:"2,keyasint"`
}

// Repair carries the sender's rows of cells that differ.
type Repair struct {
	Self  bfroster.Row   `cbor:"1,keyasint"`
	Cells []uint16       `cbor:"2,keyasint"`
	Rows  []bfroster.Row `cbor:"3,keyasint,omitempty"`
	// Answer asks for the receiver's rows of the same cells.
	Answer bool `cbor:"4,keyasint,omitempty"`
}

// PageRequest asks for the rows after a key; a joiner pulls the whole view so.
type PageRequest struct {
	Self  bfroster.Row `cbor:"1,keyasint"`
	Nonce uint32       `cbor:"2,keyasint"`
	After bfroster.Key `cbor:"3,keyasint,omitzero"`
	Limit int          `cbor:"4,keyasint"`
}

// Page answers a PageRequest; the next one starts after its last row.
type Page struct {
	Nonce   uint32         `cbor:"1,keyasint"`
	Rows    []bfroster.Row `cbor:"2,keyasint,omitempty"`
	More    bool           `cbor:"3,keyasint,omitempty"`
	Outages []Outage       `cbor:"4,keyasint,omitempty"`
}
