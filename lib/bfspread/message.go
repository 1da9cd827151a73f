package bfspread

import (
	"fmt"

	"bilberryflow.org/lib/bfcodec"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfspan"
)

// Message is the sealed set of messages between spreaders.
type Message interface{ kind() byte }

// Head is the newest version that a node holds, and the first 8 bytes of its digest.
type Head struct {
	Version bfconfig.Version `cbor:"1,keyasint,omitempty"`
	Digest  uint64           `cbor:"2,keyasint,omitempty"`
}

// Push sends consecutive versions to a relay, which forwards them to Range.
type Push struct {
	From   uint64       `cbor:"1,keyasint"`
	Nonce  uint32       `cbor:"2,keyasint"`
	Deltas [][]byte     `cbor:"3,keyasint"`
	Range  bfspan.Range `cbor:"4,keyasint,omitzero"`
	// Head is the sender's head, if it is newer than the deltas.
	Head Head `cbor:"5,keyasint,omitzero"`
}

// Ack acknowledges a Push, whether or not its versions could be applied and before
// they are forwarded.
type Ack struct {
	Nonce uint32 `cbor:"1,keyasint"`
	// Head is the receiver's head, if it isn't the last version of the push.
	Head Head `cbor:"2,keyasint,omitzero"`
}

// Pull requests the versions after Held, or a snapshot.
type Pull struct {
	From     uint64           `cbor:"1,keyasint"`
	Nonce    uint32           `cbor:"2,keyasint"`
	Held     bfconfig.Version `cbor:"3,keyasint,omitempty"`
	Snapshot bool             `cbor:"4,keyasint,omitempty"`
}

// Deltas answers a Pull; it is empty if the sender has nothing newer.
type Deltas struct {
	Nonce  uint32   `cbor:"1,keyasint"`
	Deltas [][]byte `cbor:"2,keyasint,omitempty"`
	Head   Head     `cbor:"3,keyasint,omitzero"`
}

// Snapshot answers a Pull that requests a snapshot, or whose versions are no
// longer in the sender's log.
type Snapshot struct {
	Nonce   uint32           `cbor:"1,keyasint"`
	Version bfconfig.Version `cbor:"2,keyasint"`
	Data    []byte           `cbor:"3,keyasint"`
}

// Busy answers a Pull that needs a snapshot while the sender's rate limit is used up.
type Busy struct {
	Nonce      uint32 `cbor:"1,keyasint"`
	RetryAfter uint32 `cbor:"2,keyasint"` // milliseconds
}

// Census requests the number of members of a range by version in force.
type Census bfcount.Query

// CensusAnswer answers a Census.
type CensusAnswer bfcount.Response

// The first byte of an encoded message is its kind; 16 to 31 belong to this package.
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

// Encode encodes a message as its kind in one byte, followed by CBOR.
func Encode(m Message) ([]byte, error) { return bfcodec.EncodeMessage(m.kind(), m) }

// Decode decodes the output of Encode; it returns a bfcodec.Error for anything else.
func Decode(data []byte) (Message, error) {
	if !Owns(data) {
		return nil, &bfcodec.Error{What: "message", Reason: fmt.Errorf("unknown kind")}
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
	return nil, bfcodec.UnknownKind(data[0])
}

func decodeAs[M Message](data []byte) (Message, error) {
	message, err := bfcodec.DecodeMessage[M](data)
	if err != nil {
		return nil, err
	}
	return message, nil
}
