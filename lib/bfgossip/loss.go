package bfgossip

import (
	"encoding/binary"
	"fmt"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfroster"
)

// Loss reports members of one domain as Suspect, Dead or Left.
//
// The members of a rack fail together. Sent as rows they would fill many
// datagrams and delay all other updates. The loss of a whole domain is sent as
// an Outage.
type Loss struct {
	Domain string         `cbor:"1,keyasint,omitempty"`
	State  bfroster.State `cbor:"2,keyasint"`
	// Packed holds, for each member, the hash and the incarnation in 8 bytes each
	// (big-endian) and the sequence as a uvarint.
	Packed []byte `cbor:"3,keyasint"`
}

// LostMember is one member of a Loss.
type LostMember struct{ Hash, Incarnation, Sequence uint64 }

// Add appends a member.
func (l *Loss) Add(m LostMember) {
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.Hash)
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.Incarnation)
	l.Packed = binary.AppendUvarint(l.Packed, m.Sequence)
}

// Members decodes the members; it returns a bfcodec.Error if Packed is malformed.
func (l Loss) Members() ([]LostMember, error) {
	const fixedBytes = 16
	var list []LostMember
	for data := l.Packed; len(data) > 0; {
		if len(data) <= fixedBytes {
			return nil, &bfcodec.Error{What: "loss", Reason: fmt.Errorf("%d trailing bytes", len(data))}
		}
		sequence, n := binary.Uvarint(data[fixedBytes:])
		if n <= 0 {
			return nil, &bfcodec.Error{What: "loss", Reason: fmt.Errorf("malformed sequence")}
		}
		list = append(list, LostMember{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:]), sequence})
		data = data[fixedBytes+n:]
	}
	return list, nil
}
