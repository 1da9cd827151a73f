package bfspread

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// Guards the wire format: nodes of the previous release must be able to decode every message.
func TestWireFormatIsUnchanged(t *testing.T) {
	is := is.New(t)
	from, to := bfroster.Key{Region: "wien", Domain: "wien-nord", Hash: 5}, bfroster.Key{Region: "wien", Domain: "wien-sued"}
	head := Head{Version: 42, Digest: 1 << 63}
	deltas := [][]byte{{1, 2}, {3}}
	tally := bfcount.Tally{
		Versions: []bfcount.VersionCount{{Version: 41, Members: 2}, {Version: 42, Members: 3}},
		Domains:  []bfcount.DomainCount{{Domain: "wien-nord", Members: 5, Oldest: 41}}, Lacks: []bfcount.UnreachableCount{{Domain: "wien-sued", Members: 1}},
	}
	messages := []Message{
		Push{From: 1, Nonce: 1, Deltas: deltas, Range: bfspan.Range{Scope: bfspan.ScopeFleet, From: from, To: to}, Head: head},
		Push{From: 1, Nonce: 2, Deltas: deltas}, Ack{Nonce: 3, Head: head}, Ack{Nonce: 4},
		Pull{From: 1, Nonce: 5, Held: 40, Snapshot: true}, Deltas{Nonce: 6, Deltas: deltas, Head: head},
		Snapshot{Nonce: 7, Version: 42, Data: []byte{9}}, Busy{Nonce: 8, RetryAfter: 500},
		Census{From: 1, Nonce: 9, Range: bfspan.Range{Scope: bfspan.ScopeDomain, From: bfroster.Key{Hash: 4}}, Wait: 900}, Census{From: 1, Nonce: 10, Wait: 1},
		CensusAnswer{Nonce: 11, Tally: tally}, CensusAnswer{Nonce: 12},
	}
	var page strings.Builder
	for _, message := range messages {
		data, err := Encode(message)
		is.NoErr(err)
		decoded, err := Decode(data)
		is.NoErr(err)
		is.Equal(decoded, message)
		fmt.Fprintln(&page, hex.EncodeToString(data))
	}
	bfgolden.Check(t, "testdata/wire.golden", page.String())
}
