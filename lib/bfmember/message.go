package bfmember

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

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
}

// News is what a probe or ack tells of members, within a byte budget.
type News struct {
	Rows   []Row  `cbor:"1,keyasint,omitempty"`
	Marks  []Mark `cbor:"2,keyasint,omitempty"`
	Losses []Loss `cbor:"3,keyasint,omitempty"`
	// Outages are of whole domains.
	Outages []Outage `cbor:"4,keyasint,omitempty"`
}

// Mark is a row without what stays the same within an incarnation.
type Mark struct {
	Hash        uint64      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Sequence    uint64      `cbor:"3,keyasint,omitempty"`
	Target      TargetState `cbor:"4,keyasint,omitempty"`
	Slots       uint32      `cbor:"5,keyasint,omitempty"`
}

// Loss says that members of one domain are Suspect, Dead or Left.
//
// A rack goes at once; as rows its members would fill many datagrams, during
// which the other news starves. A whole domain is told as an Outage.
type Loss struct {
	Domain string `cbor:"1,keyasint,omitempty"`
	State  State  `cbor:"2,keyasint"`
	// Packed holds for each member 8 bytes hash, 8 bytes incarnation and the sequence as uvarint.
	Packed []byte `cbor:"3,keyasint"`
}

// lost is one member of a Loss.
type lost struct {
	hash, incarnation, sequence uint64
}

func (l *Loss) add(m lost) {
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.hash)
	l.Packed = binary.BigEndian.AppendUint64(l.Packed, m.incarnation)
	l.Packed = binary.AppendUvarint(l.Packed, m.sequence)
}

func (l Loss) members() ([]lost, error) {
	const fixed = 16
	var list []lost
	for data := l.Packed; len(data) > 0; {
		if len(data) <= fixed {
			return nil, &CodecError{What: "loss", Reason: fmt.Errorf("%d bytes left over", len(data))}
		}
		sequence, n := binary.Uvarint(data[fixed:])
		if n <= 0 {
			return nil, &CodecError{What: "loss", Reason: fmt.Errorf("bad sequence")}
		}
		list = append(list, lost{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:]), sequence})
		data = data[fixed+n:]
	}
	return list, nil
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
	Self    Row      `cbor:"1,keyasint"`
	Buckets []byte   `cbor:"2,keyasint"`
	Outages []Outage `cbor:"3,keyasint,omitempty"`
}

// Detail answers a Summary: for buckets that differ, the digests of their 64 cells.
type Detail struct {
	Self    Row            `cbor:"1,keyasint"`
	Buckets []BucketDetail `cbor:"2,keyasint"`
}

// BucketDetail is one bucket's cells.
type BucketDetail struct {
	Bucket uint8  `cbor:"1,keyasint"`
	Cells  []byte `cbor:"2,keyasint"`
}

// Repair carries the sender's rows of cells that differ.
type Repair struct {
	Self  Row      `cbor:"1,keyasint"`
	Cells []uint16 `cbor:"2,keyasint"`
	Rows  []Row    `cbor:"3,keyasint,omitempty"`
	// Answer asks for the receiver's rows of the same cells.
	Answer bool `cbor:"4,keyasint,omitempty"`
}

// PageRequest asks for the rows after a key; a joiner pulls the whole view so.
type PageRequest struct {
	Self  Row    `cbor:"1,keyasint"`
	Nonce uint32 `cbor:"2,keyasint"`
	After Key    `cbor:"3,keyasint,omitzero"`
	Limit int    `cbor:"4,keyasint"`
}

// Page answers a PageRequest; the next one starts after its last row.
type Page struct {
	Nonce   uint32   `cbor:"1,keyasint"`
	Rows    []Row    `cbor:"2,keyasint,omitempty"`
	More    bool     `cbor:"3,keyasint,omitempty"`
	Outages []Outage `cbor:"4,keyasint,omitempty"`
}

// The first byte of an encoded message names its form; numbers below 16 are this package's.
const (
	kindProbe byte = iota + 1
	kindAck
	kindProbeRequest
	kindSummary
	kindDetail
	kindRepair
	kindPageRequest
	kindPage
	kindLimit = 16
)

func (Probe) kind() byte        { return kindProbe }
func (Ack) kind() byte          { return kindAck }
func (ProbeRequest) kind() byte { return kindProbeRequest }
func (Summary) kind() byte      { return kindSummary }
func (Detail) kind() byte       { return kindDetail }
func (Repair) kind() byte       { return kindRepair }
func (PageRequest) kind() byte  { return kindPageRequest }
func (Page) kind() byte         { return kindPage }

var (
	encMode = must(cbor.EncOptions{}.EncMode())
	decMode = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10}.DecMode())
)

// must is for values made from constants: their failure is a fault of the source.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// CodecError reports bytes that are not what they should be.
type CodecError struct {
	What   string
	Reason error
}

// Error names what was read and why it failed.
func (e *CodecError) Error() string { return fmt.Sprintf("unreadable %s: %v", e.What, e.Reason) }

// Unwrap is the reason.
func (e *CodecError) Unwrap() error { return e.Reason }

// Owns reports whether data is an encoded message of this package.
func Owns(data []byte) bool { return len(data) > 0 && data[0] > 0 && data[0] < kindLimit }

// Encode writes a message as one byte for its form and CBOR.
func Encode(m Message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, &CodecError{What: fmt.Sprintf("%T", m), Reason: err}
	}
	return append([]byte{m.kind()}, body...), nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (Message, error) {
	if !Owns(data) {
		return nil, &CodecError{What: "message", Reason: fmt.Errorf("form unknown")}
	}
	switch data[0] {
	case kindProbe:
		return decodeAs[Probe](data)
	case kindAck:
		return decodeAs[Ack](data)
	case kindProbeRequest:
		return decodeAs[ProbeRequest](data)
	case kindSummary:
		return decodeAs[Summary](data)
	case kindDetail:
		return decodeAs[Detail](data)
	case kindRepair:
		return decodeAs[Repair](data)
	case kindPageRequest:
		return decodeAs[PageRequest](data)
	case kindPage:
		return decodeAs[Page](data)
	}
	return nil, &CodecError{What: "message", Reason: fmt.Errorf("form %d unknown", data[0])}
}

func decodeAs[M Message](data []byte) (Message, error) {
	var m M
	if err := decMode.Unmarshal(data[1:], &m); err != nil {
		return nil, &CodecError{What: fmt.Sprintf("%T", m), Reason: err}
	}
	return m, nil
}

func encodedSize(v any) int { return len(must(encMode.Marshal(v))) }
