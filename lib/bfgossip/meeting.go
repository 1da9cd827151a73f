package bfgossip

import (
	"time"

	"bilberryflow.org/lib/bfcodec"
	"bilberryflow.org/lib/bfroster"
)

// Meeting is one of the few rows of the table that list a running node each, for
// new nodes to find their first peer.
type Meeting struct {
	Slot int          `cbor:"1,keyasint"`
	At   time.Time    `cbor:"2,keyasint"`
	Row  bfroster.Row `cbor:"3,keyasint"`
}

// EncodeMeeting encodes the value of a meeting row, with the time truncated to seconds.
func EncodeMeeting(m Meeting) ([]byte, error) {
	m.At = m.At.UTC().Truncate(time.Second)
	return bfcodec.Marshal(m)
}

// DecodeMeeting decodes the value of a meeting row; it returns a bfcodec.Error if
// the value or the member's row in it is invalid.
func DecodeMeeting(data []byte) (Meeting, error) {
	var m Meeting
	if err := bfcodec.Unmarshal(data, "meeting row", &m); err != nil {
		return Meeting{}, err
	}
	if err := m.Row.Validate(); err != nil {
		return Meeting{}, &bfcodec.Error{What: "meeting row", Reason: err}
	}
	return m, nil
}
