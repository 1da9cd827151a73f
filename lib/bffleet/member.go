package bffleet

import (
	"cmp"
	"fmt"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfheader"
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

// MemberError reports a row that can't be a member's.
type MemberError struct {
	Key   string
	Field string
}

// Error names the row's key and the field.
func (e *MemberError) Error() string {
	return fmt.Sprintf("row %q is no member's: %s is missing or out of range", e.Key, e.Field)
}

// maxSlots is more than any target has.
const maxSlots = 100_000

// DecodeMember reads the value of the row of a key.
//
// A row may come from another writer. One that lacks a field, or lies under another's
// key, would have requests sent to an address where no node is.
func DecodeMember(key string, value []byte) (Member, error) {
	var m Member
	if err := bfcodec.Unmarshal(value, "member", &m); err != nil {
		return Member{}, err
	}
	for _, field := range []struct {
		name string
		good bool
	}{
		{"inbound", m.Inbound == key && bfheader.IsAddress(m.Inbound)},
		{"peer", bfheader.IsAddress(m.Peer)},
		{"service", m.Service != ""},
		{"domain", m.Domain != ""},
		{"slots", m.Slots > 0 && m.Slots <= maxSlots},
		{"link", m.LinkMbps >= 0},
	} {
		if !field.good {
			return Member{}, &MemberError{Key: key, Field: field.name}
		}
	}
	return m, nil
}
