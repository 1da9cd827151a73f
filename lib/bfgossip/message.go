package bfgossip

import "bilberryflow.org/lib/bfroster"

// Message is the sealed set of messages of the membership protocol.
type Message interface{ kind() byte }

// Advert is piggybacked on every probe and ack, to detect views that differ.
type Advert struct {
	// Version is the sender's configuration version.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Digest is the first 8 bytes of that version's digest.
	Digest uint64 `cbor:"2,keyasint,omitempty"`
	// Members is the digest of the sender's view of the fleet.
	Members uint64 `cbor:"3,keyasint"`
	// Quarantine is the digest of the sender's quarantine, the requests that crash targets.
	Quarantine uint64 `cbor:"4,keyasint,omitempty" json:",omitempty"`
}

// News is the updates piggybacked on a probe or an ack, within a byte budget.
type News struct {
	Rows   []bfroster.Row `cbor:"1,keyasint,omitempty"`
	Marks  []Mark         `cbor:"2,keyasint,omitempty"`
	Losses []Loss         `cbor:"3,keyasint,omitempty"`
	// Outages lists failure domains that were lost or have returned.
	Outages []Outage `cbor:"4,keyasint,omitempty"`
}

// Mark is an update of an alive member: the fields of its row that can change
// within an incarnation.
type Mark struct {
	Hash        uint64               `cbor:"1,keyasint"`
	Incarnation uint64               `cbor:"2,keyasint"`
	Sequence    uint64               `cbor:"3,keyasint,omitempty"`
	Target      bfroster.TargetState `cbor:"4,keyasint,omitempty"`
	Slots       uint32               `cbor:"5,keyasint,omitempty"`
}

// Probe requests an Ack.
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
	// Introduce requests the prober's whole row, which the sender doesn't hold.
	Introduce bool `cbor:"5,keyasint,omitempty"`
}

// ProbeRequest requests an indirect probe of Target.
type ProbeRequest struct {
	From   uint64 `cbor:"1,keyasint"`
	Nonce  uint32 `cbor:"2,keyasint"`
	Target uint64 `cbor:"3,keyasint"`
}

// Summary starts an anti-entropy exchange with the digests of the 64 buckets of
// the sender's view.
type Summary struct {
	Self    bfroster.Row `cbor:"1,keyasint"`
	Buckets []byte       `cbor:"2,keyasint"`
	Outages []Outage     `cbor:"3,keyasint,omitempty"`
}

// Detail answers a Summary with the digests of the 64 cells of each bucket that differs.
type Detail struct {
	Self    bfroster.Row   `cbor:"1,keyasint"`
	Buckets []BucketDetail `cbor:"2,keyasint"`
}

// BucketDetail holds the digests of the cells of one bucket.
type BucketDetail struct {
	Bucket uint8  `cbor:"1,keyasint"`
	Cells  []byte `cbor:"2,keyasint"`
}

// Repair holds the sender's rows of the cells that differ.
type Repair struct {
	Self  bfroster.Row   `cbor:"1,keyasint"`
	Cells []uint16       `cbor:"2,keyasint"`
	Rows  []bfroster.Row `cbor:"3,keyasint,omitempty"`
	// Answer requests the receiver's rows of the same cells.
	Answer bool `cbor:"4,keyasint,omitempty"`
}

// PageRequest requests up to Limit rows after a key; a joining node transfers the
// whole view with these.
type PageRequest struct {
	Self  bfroster.Row `cbor:"1,keyasint"`
	Nonce uint32       `cbor:"2,keyasint"`
	After bfroster.Key `cbor:"3,keyasint,omitzero"`
	Limit int          `cbor:"4,keyasint"`
}

// Page answers a PageRequest; the next request starts after its last row.
type Page struct {
	Nonce   uint32         `cbor:"1,keyasint"`
	Rows    []bfroster.Row `cbor:"2,keyasint,omitempty"`
	More    bool           `cbor:"3,keyasint,omitempty"`
	Outages []Outage       `cbor:"4,keyasint,omitempty"`
}
