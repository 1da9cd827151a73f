package bffleet

import (
	"cmp"
	"fmt"
	"net"
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfstore"
)

// Member is a node whose target accepts requests, as stored in the members' table.
type Member struct {
	// Inbound is the address at which the node accepts requests from other nodes. It
	// identifies the member.
	Inbound string `cbor:"1,keyasint"`
	// Peer is the address at which the node accepts peer calls from other nodes.
	Peer string `cbor:"2,keyasint"`
	// Service is the service of the node's target.
	Service string `cbor:"3,keyasint"`
	// Domain is the failure domain of the node.
	Domain string `cbor:"4,keyasint"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `cbor:"5,keyasint"`
	// LinkMbps is the bandwidth of the node's link in whole Mbit/s.
	LinkMbps int `cbor:"6,keyasint,omitempty"`
	// Revision is the revision of the row in the store. The stored row itself lacks it.
	Revision bfstore.Revision `cbor:"7,keyasint,omitempty"`
	// Instance is the name of the node's instance, for operators.
	Instance string `cbor:"8,keyasint,omitempty"`
	// Incarnation and Address identify the target. StartedMilli is its start time in Unix
	// milliseconds, 0 if the target doesn't report one. A restarted node uses them to find
	// its target again.
	Incarnation  string `cbor:"9,keyasint,omitempty"`
	Address      string `cbor:"10,keyasint,omitempty"`
	StartedMilli int64  `cbor:"11,keyasint,omitempty"`
	// Version is the version of the target's software.
	Version string `cbor:"12,keyasint,omitempty"`
}

// Started returns when the target started by its own clock, or the zero time if unknown.
func (m Member) Started() time.Time {
	if m.StartedMilli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.StartedMilli)
}

// HasTarget reports whether the member names a target on the same host as its node.
func (m Member) HasTarget() bool {
	node, _, _ := net.SplitHostPort(m.Inbound)
	target, _, err := net.SplitHostPort(m.Address)
	return err == nil && m.Incarnation != "" && node == target
}

// Name returns the name of the member for operators: its instance, or else its inbound
// address.
func (m Member) Name() string { return cmp.Or(m.Instance, m.Inbound) }

// Encode returns the member as the value of a row.
func (m Member) Encode() ([]byte, error) { return bfcodec.Marshal(m) }

// MemberError reports a row that is no valid member.
type MemberError struct {
	Key   string
	Field string
}

// Error returns the message with the row's key and the field.
func (e *MemberError) Error() string {
	return fmt.Sprintf("row %q is not a valid member: %s is missing or out of range", e.Key, e.Field)
}

// maxSlots bounds the slots of a valid member.
const maxSlots = 100_000

// DecodeMember decodes and validates the value of the row with a key. Its errors are
// MemberError and those of bfcodec.
//
// Other writers may have stored invalid rows. A row with a missing field or under the
// wrong key would direct requests to an address without a node.
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
