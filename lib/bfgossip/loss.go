package bfgossip

import (
	"encoding/binary"
	"fmt"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfroster"
)

// Loss says that members of one domain are Suspect, Dead or Left.
//
// A rack goes at once; as rows its members would fill many datagrams, during
// which the other news starves. A whole domain is told as an Outage.
type Loss struct {
	Domain string         `cbor:"1,keyasint,omitempty"`
	State  bfroster.State `cbor:"2,keyasint"`
	// Packed holds for each member 8 bytes hash, 8 bytes incarnation and the sequence as uvarint.
	Packed []byte `cbor:"3,keyasint"`
}

// LostMember is one member of a Loss.
type LostMember struct{ Hash, Incarnation, Sequence uint64 }

// Add packs one more member.
func (l *Loss) Add(m LostMember) {
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.Hash)
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.Incarnation)
	l.Packed = binary.AppendUvarint(l.Packed, m.Sequence)
}

// Members unpacks the members.
func (l Loss) Members() ([]LostMember, error) {
	const fixed = 16
	var list []LostMember
	for data := l.Packed; len(data) > 0; {
		if len(data) <= fixed {
			return nil, &bfcodec.Error{What: "loss", Reason: fmt.Errorf("%d bytes left over", len(data))}
		}
		sequence, n := binary.Uvarint(data[fixed:])
		if n <= 0 {
			return nil, &bfcodec.Error{What: "loss", Reason: fmt.Errorf("bad sequence")}
		}
		list = append(list, LostMember{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:]), sequence})
		data = data[fixed+n:]
	}
	return list, nil
}
