package bffleet

import (
	"cmp"

	"bilberryflow.org/lib/bfcodec"
)

// Member is a node whose target takes work, as it is written in the store.
type Member struct {
	// Inbound is where the node takes requests from other nodes; it names the member.
	Inbound string `cbor:"1,keyasint"`
	// Peer is where the node takes calls from other nodes.
	Peer string `cbor:"2,keyasint"`
	// Service is the service of the target beside the node.
	Service string `cbor:"3,keyasint"`
	// Domain is the failure domain of the node.
	Domain string `cbor:"4,keyasint"`
	// Slots is how many requests the target works on at once.
	Slots int `cbor:"5,keyasint"`
	// LinkMbps is the bandwidth of the node's link in whole Mbit/s.
	LinkMbps int `cbor:"6,keyasint,omitempty"`
	// Revision is that of the row in the store; the row itself does not hold it.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// Instance is the name of the node's instance, for operators.
	Instance string `cbor:"8,keyasint,omitempty"`
}

// Name is what operators call the member: its instance, or its address where the
// row does not tell that.
func (m Member) Name() string { return cmp.Or(m.Instance, m.Inbound) }

// Encode writes the member as a row's value.
func (m Member) Encode() ([]byte, error) { return bfcodec.Marshal(m) }

// DecodeMember reads a row's value.
func DecodeMember(value []byte) (Member, error) {
	var m Member
	err := bfcodec.Unmarshal(value, "member", &m)
	return m, err
}
