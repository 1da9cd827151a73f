package bfgossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

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

// EncodedSize is how many bytes a part of a message takes.
func EncodedSize(v any) int { return len(must(encMode.Marshal(v))) }
