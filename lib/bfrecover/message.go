package bfrecover

import (
	"cmp"

	"bilberryflow.org/lib/bfconfig"
)

// Set is one choice of witnesses; a node's sets are ordered by its incarnation, then by epoch.
type Set struct {
	Incarnation uint64   `cbor:"1,keyasint"`
	Epoch       uint64   `cbor:"2,keyasint"`
	Members     []string `cbor:"3,keyasint"`
}

func (s Set) compare(o Set) int {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Epoch, o.Epoch))
}

// newest is the last of sets, which are in order; without any it is the zero Set.
func newest(sets []Set) Set {
	if len(sets) == 0 {
		return Set{}
	}
	return sets[len(sets)-1]
}

// Note tells a witness the highest version that the instance may put in force.
type Note struct {
	Instance    string           `cbor:"1,keyasint"`
	Incarnation uint64           `cbor:"2,keyasint"`
	Epoch       uint64           `cbor:"3,keyasint"`
	Version     bfconfig.Version `cbor:"4,keyasint"`
	// Memory is the witness's memory that the note is for; a late note must not register with a newer one.
	Memory uint64 `cbor:"5,keyasint"`
	// Sets are those that still bind, oldest first; left out once the witness has acknowledged the epoch.
	Sets []Set `cbor:"6,keyasint,omitempty"`
}

// Ack is a witness's answer to a note: what it holds afterwards, or its refusal.
type Ack struct {
	Witness     string           `cbor:"1,keyasint"`
	Memory      uint64           `cbor:"2,keyasint"`
	Incarnation uint64           `cbor:"3,keyasint,omitempty"`
	Epoch       uint64           `cbor:"4,keyasint,omitempty"`
	Version     bfconfig.Version `cbor:"5,keyasint,omitempty"`
	// Refused is set if the witness took nothing of the note over.
	Refused bool `cbor:"6,keyasint,omitempty"`
}

// Question asks a witness what it has noted of an instance.
type Question struct {
	Instance string `cbor:"1,keyasint"`
}

// Answer is what a witness has noted of an instance, by any of its incarnations.
type Answer struct {
	Witness string `cbor:"1,keyasint"`
	// Counts is set if the witness has registered the instance in its present memory and the note has not lapsed.
	Counts  bool             `cbor:"2,keyasint,omitempty"`
	Version bfconfig.Version `cbor:"3,keyasint,omitempty"`
	Sets    []Set            `cbor:"4,keyasint,omitempty"`
}
