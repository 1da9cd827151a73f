package bffleet

import (
	"cmp"
	"fmt"
	"net"
	"time"

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
	// Incarnation and Address are the target's, StartedMilli when it started in Unix
	// milliseconds, 0 where it does not say. A node that is started again recalls its
	// target by them.
	Incarnation  string `cbor:"9,keyasint,omitempty"`
	Address      string `cbor:"10,keyasint,omitempty"`
	StartedMilli int64  `cbor:"11,keyasint,omitempty"`
}

// Started is when the target started by its own clock, zero where it does not say.
func (m Member) Started() time.Time {
	if m.StartedMilli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.StartedMilli)
}

// HasTarget reports whether the member names a target that is beside its node.
func (m Member) HasTarget() bool {
	node, _, _ := net.SplitHostPort(m.Inbound)
	target, _, err := net.SplitHostPort(m.Address)
	return err == nil && m.Incarnation != "" && node == target
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
		{"address", m.Address == "" || bfheader.IsAddress(m.Address)},
	} {
		if !field.good {
			return Member{}, &MemberError{Key: key, Field: field.name}
		}
	}
	return m, nil
}
