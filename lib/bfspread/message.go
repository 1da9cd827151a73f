package bfspread

import (
	"fmt"

	"bilberryflow.org/lib/bfcodec"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfspan"
)

// Message is the sealed set of what spreaders send one another.
type Message interface{ kind() byte }

// Head is the newest version of a node and the first 8 bytes of its digest.
type Head struct {
	Version bfconfig.Version `cbor:"1,keyasint,omitempty"`
	Digest  uint64           `cbor:"2,keyasint,omitempty"`
}

// Push carries consecutive versions to a node that covers Range with them.
type Push struct {
	From   uint64       `cbor:"1,keyasint"`
	Nonce  uint32       `cbor:"2,keyasint"`
	Deltas [][]byte     `cbor:"3,keyasint"`
	Range  bfspan.Range `cbor:"4,keyasint,omitzero"`
	// Head is the sender's where it is beyond the deltas.
	Head Head `cbor:"5,keyasint,omitzero"`
}

// Ack answers a Push before its versions are applied or handed on.
type Ack struct {
	Nonce uint32 `cbor:"1,keyasint"`
	// Head is the receiver's where it is not the last of the push.
	Head Head `cbor:"2,keyasint,omitzero"`
}

// Pull asks for what follows Held, or for a whole snapshot.
type Pull struct {
	From     uint64           `cbor:"1,keyasint"`
	Nonce    uint32           `cbor:"2,keyasint"`
	Held     bfconfig.Version `cbor:"3,keyasint,omitempty"`
	Snapshot bool             `cbor:"4,keyasint,omitempty"`
}

// Deltas answers a Pull; it is empty where the giver has nothing newer.
type Deltas struct {
	Nonce  uint32   `cbor:"1,keyasint"`
	Deltas [][]byte `cbor:"2,keyasint,omitempty"`
	Head   Head     `cbor:"3,keyasint,omitzero"`
}

// Snapshot answers a Pull from too far behind.
type Snapshot struct {
	Nonce   uint32           `cbor:"1,keyasint"`
	Version bfconfig.Version `cbor:"2,keyasint"`
	Data    []byte           `cbor:"3,keyasint"`
}

// Busy answers a Pull that would need a snapshot over the giver's cap.
type Busy struct {
	Nonce      uint32 `cbor:"1,keyasint"`
	RetryAfter uint32 `cbor:"2,keyasint"` // milliseconds
}

// Census asks what the members of a range hold.
type Census bfcount.Question

// CensusAnswer is what the members of a census's range hold.
type CensusAnswer bfcount.Answer

// The first byte of an encoded message names its form; 16 to 31 are this package's.
const (
	kindPush byte = iota + 16
	kindAck
	kindPull
	kindDeltas
	kindSnapshot
	kindBusy
	kindCensus
	kindCensusAnswer
	kindLimit = 32
)

func (Push) kind() byte         { return kindPush }
func (Ack) kind() byte          { return kindAck }
func (Pull) kind() byte         { return kindPull }
func (Deltas) kind() byte       { return kindDeltas }
func (Snapshot) kind() byte     { return kindSnapshot }
func (Busy) kind() byte         { return kindBusy }
func (Census) kind() byte       { return kindCensus }
func (CensusAnswer) kind() byte { return kindCensusAnswer }

// Owns reports whether data is an encoded message of this package.
func Owns(data []byte) bool { return len(data) > 0 && data[0] >= kindPush && data[0] < kindLimit }

// Encode writes a message as one byte for its form and CBOR.
func Encode(m Message) ([]byte, error) { return bfcodec.EncodeForm(m.kind(), m) }

// Decode reads what Encode wrote.
func Decode(data []byte) (Message, error) {
	if !Owns(data) {
		return nil, &bfcodec.Error{What: "message", Reason: fmt.Errorf("form unknown")}
	}
	switch data[0] {
	case kindPush:
		return decodeAs[Push](data)
	case kindAck:
		return decodeAs[Ack](data)
	case kindPull:
		return decodeAs[Pull](data)
	case kindDeltas:
		return decodeAs[Deltas](data)
	case kindSnapshot:
		return decodeAs[Snapshot](data)
	case kindBusy:
		return decodeAs[Busy](data)
	case kindCensus:
		return decodeAs[Census](data)
	case kindCensusAnswer:
		return decodeAs[CensusAnswer](data)
	}
	return nil, bfcodec.UnknownForm(data[0])
}

func decodeAs[M Message](data []byte) (Message, error) {
	message, err := bfcodec.DecodeForm[M](data)
	if err != nil {
		return nil, err
	}
	return message, nil
}
