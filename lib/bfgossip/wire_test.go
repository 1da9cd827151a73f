package bfgossip

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfroster"
)

// Guards the wire format: nodes of the previous release must be able to decode every message.
func TestWireFormatIsUnchanged(t *testing.T) {
	is := is.New(t)
	row := bfroster.Row{
		ID: "asset-vault-1", Region: "wien", Domain: "wien-nord", Service: "asset-vault", Peer: "10.0.0.1:7946",
		Inbound: "10.0.0.1:8080", Incarnation: 1_800_000_000_000_000, Sequence: 7, State: bfroster.Suspect, Target: bfroster.TargetReady, Slots: 12,
	}
	hash := bfroster.HashID(row.ID)
	advert := Advert{Version: 42, Digest: 1 << 63, Members: 9}
	outages := []Outage{{Region: "wien", Domain: "wien-sued", Epoch: 3, Lost: true}}
	news := News{
		Rows: []bfroster.Row{row}, Marks: []Mark{{Hash: hash, Incarnation: row.Incarnation, Sequence: 8, Target: bfroster.TargetLeaving, Slots: 3}},
		Losses: []Loss{{Domain: "wien-west", State: bfroster.Dead, Packed: []byte{1, 2, 3}}}, Outages: outages,
	}
	messages := []Message{
		Probe{From: hash, Nonce: 1, Advert: advert, News: news}, Probe{From: hash, Nonce: 2, Advert: advert},
		Ack{From: hash, Nonce: 3, Advert: advert, News: news, Introduce: true}, Ack{From: hash, Nonce: 4, Advert: advert},
		ProbeRequest{From: hash, Nonce: 5, Target: hash + 1},
		Summary{Self: row, Buckets: []byte{4, 5}, Outages: outages},
		Detail{Self: row, Buckets: []BucketDetail{{Bucket: 63, Cells: []byte{6, 7}}}},
		Repair{Self: row, Cells: []uint16{4000}, Rows: []bfroster.Row{row}, Answer: true},
		PageRequest{Self: row, Nonce: 6, After: row.Key(), Limit: 400},
		PageRequest{Self: row, Nonce: 7, Limit: 32},
		Page{Nonce: 8, Rows: []bfroster.Row{row}, More: true, Outages: outages},
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
