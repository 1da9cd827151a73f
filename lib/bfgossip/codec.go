package bfgossip

import (
	"fmt"

	"bilberryflow.org/lib/bfcodec"
)

// The first byte of an encoded message is its kind; values below 16 belong to this package.
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

// Owns reports whether data is an encoded message of this package.
func Owns(data []byte) bool { return len(data) > 0 && data[0] > 0 && data[0] < kindLimit }

// Encode encodes a message as its kind in one byte, followed by CBOR.
func Encode(m Message) ([]byte, error) { return bfcodec.EncodeMessage(m.kind(), m) }

// Decode decodes the output of Encode; it returns a bfcodec.Error for anything else.
func Decode(data []byte) (Message, error) {
	if !Owns(data) {
		return nil, &bfcodec.Error{What: "message", Reason: fmt.Errorf("unknown kind")}
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
	return nil, bfcodec.UnknownKind(data[0])
}

func decodeAs[M Message](data []byte) (Message, error) {
	message, err := bfcodec.DecodeMessage[M](data)
	if err != nil {
		return nil, err
	}
	return message, nil
}

// EncodedSize returns the encoded size, in bytes, of a part of a message.
func EncodedSize(v any) int { return len(bfcodec.Must(bfcodec.Marshal(v))) }
