package bfcontrol

import (
	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrecover"
)

// The first byte of a recovery message is its kind; the range 32 to 47 is reserved for this file.
const (
	kindNote byte = iota + 32
	kindNoteAck
	kindQuestion
	kindAnswer
	kindWitnessLimit = 48
)

// witnessMessage is a decoded message of bfrecover.
type witnessMessage struct{ body any }

// maxWitnessBytes bounds an encoded message; the largest note has 8 witness sets.
const maxWitnessBytes = 16 << 10

func ownsWitness(data []byte) bool {
	return len(data) > 0 && len(data) <= maxWitnessBytes && data[0] >= kindNote && data[0] < kindWitnessLimit
}

// sendWitness sends a message of bfrecover; its core resends lost ones.
func (c *Control) sendWitness(address string, message any) {
	var kind byte
	switch message.(type) {
	case bfrecover.Note:
		kind = kindNote
	case bfrecover.Ack:
		kind = kindNoteAck
	case bfrecover.Question:
		kind = kindQuestion
	case bfrecover.Answer:
		kind = kindAnswer
	}
	data, err := bfcodec.EncodeMessage(kind, message)
	c.send(address, bfpeer.Witness, data, err)
}

func decodeWitness(data []byte) (any, error) {
	switch data[0] {
	case kindNote:
		return decodeWitnessAs[bfrecover.Note](data)
	case kindNoteAck:
		return decodeWitnessAs[bfrecover.Ack](data)
	case kindQuestion:
		return decodeWitnessAs[bfrecover.Question](data)
	case kindAnswer:
		return decodeWitnessAs[bfrecover.Answer](data)
	}
	return nil, bfcodec.UnknownKind(data[0])
}

func decodeWitnessAs[M any](data []byte) (any, error) {
	m, err := bfcodec.DecodeMessage[M](data)
	return witnessMessage{body: m}, err
}
