package bfgossip

import (
	"time"

	"bilberryflow.org/lib/bfroster"
)

// Meeting is one of the few rows in the table by which new nodes find the first peer.
type Meeting struct {
	Slot int          `cbor:"1,keyasint"`
	At   time.Time    `cbor:"2,keyasint"`
	Row  bfroster.Row `cbor:"3,keyasint"`
}

// EncodeMeeting writes the value of a meeting row.
func EncodeMeeting(m Meeting) ([]byte, error) {
	m.At = m.At.UTC().Truncate(time.Second)
	return encMode.Marshal(m)
}

// DecodeMeeting reads what EncodeMeeting wrote.
func DecodeMeeting(data []byte) (Meeting, error) {
	var m Meeting
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Meeting{}, &CodecError{What: "meeting row", Reason: err}
	}
	if err := m.Row.Check(); err != nil {
		return Meeting{}, &CodecError{What: "meeting row", Reason: err}
	}
	return m, nil
}
