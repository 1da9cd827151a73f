package bfcontrol

import (
	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfpeer"
	"bilberryflow.org/lib/bfrecover"
)

// The first byte of a witness's message names its form; 32 to 47 are this file's.
const (
	kindNote byte = iota + 32
	kindNoteAck
	kindQuestion
	kindAnswer
	kindWitnessLimit = 48
)

// witnessMessage is a decoded message of bfrecover.
type witnessMessage struct{ body any }

// maxWitness bounds one message; the largest note has 8 sets of witnesses.
const maxWitness = 16 << 10

func ownsWitness(data []byte) bool {
	return len(data) > 0 && len(data) <= maxWitness && data[0] >= kindNote && data[0] < kindWitnessLimit
}

// sendWitness sends a message of bfrecover; a lost one is sent again by its core.
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
