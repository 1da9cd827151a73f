package bfrecover

import (
	"cmp"

	"bilberryflow.org/lib/bfconfig"
)

// Set is a set of witnesses of a node; its sets are ordered by incarnation, then by epoch.
type Set struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Epoch       uint64   `cbor:"2,keyasint"`
	Members     []string `cbor:"3,keyasint"`
}

func (s Set) compare(o Set) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Epoch, o.Epoch))
}

// newest returns the last of the ordered sets, or the zero Set if there is none.
func newest(sets []Set) Set {
	if len(sets) == 0 {
		return Set{}
	}
	return sets[len(sets)-1]
}

// Note requests that a witness records the highest version that the instance may
// put in force.
type Note struct {
	Instance    string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Epoch       uint64           `cbor:"3,keyasint"`
	Version     bfconfig.Version `cbor:"4,keyasint"`
	// Memory is the witness's memory number; a delayed note must not register with a later memory.
	Memory uint64 `cbor:"5,keyasint"`
	// Sets lists the binding sets, oldest first; omitted once the witness has acknowledged the epoch.
	Sets []Set `cbor:"6,keyasint,omitempty"`
}

// Ack answers a note with what the witness holds afterwards.
type Ack struct {
	Witness     string           `cbor:"1,keyasint"`
	Memory      uint64           `cbor:"2,keyasint"`
	Incarnation uint64           `cbor:"3,keyasint,omitempty"`
	Epoch       uint64           `cbor:"4,keyasint,omitempty"`
	Version     bfconfig.Version `cbor:"5,keyasint,omitempty"`
	// Refused is set if the witness recorded nothing of the note.
	Refused bool `cbor:"6,keyasint,omitempty"`
}

// Question requests what a witness has noted for an instance.
type Question struct {
	Instance string `cbor:"1,keyasint"`
}

// Answer holds what a witness has noted for any incarnation of an instance.
type Answer struct {
	Witness string `cbor:"1,keyasint"`
	// Counts is set if the instance is registered in the witness's current memory and the note has not expired.
	Counts  bool             `cbor:"2,keyasint,omitempty"`
	Version bfconfig.Version `cbor:"3,keyasint,omitempty"`
	Sets    []Set            `cbor:"4,keyasint,omitempty"`
}
