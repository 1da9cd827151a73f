package bfpeer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
	"golang.org/x/exp/jsonrpc2"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgolden"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
	"bilberryflow.org/lib/bfspread"
)

// measured is a message in each of its encodings: fields as JSON, datagram, and call.
type measured struct {
	name        string
	plain, cbor []byte
	call        *jsonrpc2.Request
}

func row(i int) bfroster.Row {
	domain := i % 26
	return bfroster.Row{
		ID: fmt.Sprintf("wien-nord-%05d", i), Region: fmt.Sprintf("region-%d", domain%10), Domain: fmt.Sprintf("domain-%02d", domain),
		Service: fmt.Sprintf("service-%03d", i%810), Peer: fmt.Sprintf("10.4.%d.%d:7803", i>>8, i&255),
		Inbound: fmt.Sprintf("10.4.%d.%d:7801", i>>8, i&255), Incarnation: 1_800_000_000_000_000 + uint64(i)*977_123_457,
		Target: bfroster.TargetReady, Slots: 12,
	}
}

// versions makes a state of n objects, applies one-route changes to it, and returns the
// state and the deltas of these changes.
func versions(is *is.I, n, last int) (*bfconfig.State, [][]byte) {
	var ops []bfconfig.Op
	for i := range n / 3 {
		service, policy := fmt.Sprintf("service-%d", i), fmt.Sprintf("policy-%d", i)
		ops = append(ops,
			bfconfig.Put{Object: bfconfig.ServiceSpec{Name: service, Slots: 9 + i%5, ColdStart: time.Duration(i%90) * time.Second}},
			bfconfig.Put{Object: bfconfig.PolicySpec{Name: policy, Class: fmt.Sprintf("class-%d", i%7), Deadline: time.Duration(1+i%9) * time.Second, Queue: i % 50}},
			bfconfig.Put{Object: bfconfig.RouteSpec{Name: fmt.Sprintf("route-%d", i), Prefix: fmt.Sprintf("/archive/%d", i), Service: service, Policy: policy}},
		)
	}
	at := time.Unix(1_800_000_000, 0)
	state, _, err := bfconfig.Empty().Propose(bfconfig.NewChange("01JZ0000000000000000000000", "anna", at, ops))
	is.NoErr(err)
	var deltas [][]byte
	for i := range last {
		route := bfconfig.RouteSpec{
			Name: fmt.Sprintf("route-%d", i%(n/3)), Prefix: fmt.Sprintf("/stems/%d", i), Methods: []string{"GET"},
			Service: fmt.Sprintf("service-%d", i*7%(n/3)), Policy: fmt.Sprintf("policy-%d", i*3%(n/3)),
		}
		change := bfconfig.NewChange(fmt.Sprintf("01JZ%022X", i*i*7919+i), "berta", at.Add(time.Duration(i)*time.Minute), []bfconfig.Op{bfconfig.Put{Object: route}})
		next, delta, err := state.Propose(change)
		is.NoErr(err)
		data, err := delta.Encode()
		is.NoErr(err)
		state, deltas = next, append(deltas, data)
	}
	return state, deltas
}

func measuredMessages(is *is.I) []measured {
	type id struct {
		Home string `json:"home"`
		Seq  uint64 `json:"seq"`
	}
	type resolve struct {
		ID   id `json:"id"`
		Home struct {
			Instance    string `json:"instance"`
			Incarnation uint64 `json:"incarnation"`
		} `json:"home"`
	}
	params := resolve{ID: id{"wien-nord-00017", 1<<40 + 12345}}
	params.Home.Instance, params.Home.Incarnation = "wien-sued-00311", 1_800_000_000_123_456
	plain, err := json.Marshal(params)
	is.NoErr(err)
	call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1234), "request.resolve", params)
	is.NoErr(err)
	all := []measured{{name: "resolve", plain: plain, call: call}}
	deliver := func(name string, message any, encoded []byte, err error) {
		is.NoErr(err)
		plain, err := json.Marshal(message)
		is.NoErr(err)
		call, err := jsonrpc2.NewCall(jsonrpc2.Int64ID(1234), "control.deliver", struct {
			From string `json:"from"`
			Data []byte `json:"data"`
		}{"10.4.1.55:7803", encoded})
		is.NoErr(err)
		all = append(all, measured{name, plain, encoded, call})
	}
	probe := bfgossip.Probe{From: 1 << 63, Nonce: 1 << 31, Advert: bfgossip.Advert{Version: 96_000, Digest: 1 << 62, Members: 1 << 61}}
	encoded, err := bfgossip.Encode(probe)
	deliver("probe, no news", probe, encoded, err)
	page := bfgossip.Page{Nonce: 1 << 30, More: true}
	for i := range bfmember.FastConvergenceProfile().PageRows {
		page.Rows = append(page.Rows, row(i))
	}
	encoded, err = bfgossip.Encode(page)
	deliver("page of 400 members", page, encoded, err)
	_, deltas := versions(is, 300, 3)
	push := bfspread.Push{From: 1 << 63, Nonce: 1 << 31, Deltas: deltas[2:], Range: bfspan.Range{Scope: bfspan.ScopeDomain, From: bfroster.Key{Hash: 1 << 62}}}
	encoded, err = bfspread.Encode(push)
	deliver("push of one delta", push, encoded, err)
	for _, objects := range []int{100, 5_000} {
		state, _ := versions(is, objects, 0)
		data, err := state.EncodeSnapshot()
		is.NoErr(err)
		snapshot := bfspread.Snapshot{Nonce: 1 << 31, Version: 1, Data: data}
		encoded, err := bfspread.Encode(snapshot)
		deliver(fmt.Sprintf("snapshot of %d objects", objects), snapshot, encoded, err)
	}
	return all
}

// sizeBy returns the number of bytes that a framer writes for a call.
func sizeBy(is *is.I, framer jsonrpc2.Framer, message jsonrpc2.Message) int {
	var out bytes.Buffer
	_, err := framer.Writer(&out).Write(context.Background(), message)
	is.NoErr(err)
	return out.Len()
}

// Records message sizes by framing, which docs/design/wire.md quotes. They are the same on
// every machine.
func TestFramingFigures(t *testing.T) {
	is := is.New(t)
	_, training := versions(is, 300, 200)
	dictionary, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderDictRaw(1, bytes.Join(training[100:], nil)))
	is.NoErr(err)
	defer func() { is.NoErr(dictionary.Close()) }()
	var page strings.Builder
	page.WriteString("| message | JSON body | CBOR body | call, library's header | call, raw JSON | compact, plain | compact, zstd (taken) | compact, zstd and dictionary |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, m := range measuredMessages(is) {
		data, err := jsonrpc2.EncodeMessage(m.call)
		is.NoErr(err)
		const frame = 3
		body := "none"
		if len(m.cbor) > 0 {
			body = fmt.Sprint(len(m.cbor))
		}
		fmt.Fprintf(&page, "| %s | %d | %s | %d | %d | %d | %d | %d |\n", m.name, len(m.plain), body,
			sizeBy(is, jsonrpc2.HeaderFramer(), m.call), sizeBy(is, jsonrpc2.RawFramer(), m.call), len(data)+frame,
			len(encodeFrame(data)), min(len(data)+frame, len(dictionary.EncodeAll(data, nil))+frame))
	}
	_, deltas := versions(is, 300, 300)
	bodies, packed := 0, 0
	for _, delta := range deltas[200:] {
		bodies += len(delta)
		packed += min(len(delta), len(dictionary.EncodeAll(delta, nil)))
	}
	fmt.Fprintf(&page, "\nMean of 100 deltas of one route: %d bytes as CBOR, %d with a dictionary of 100 earlier ones.\n", bodies/100, packed/100)
	bfgolden.Check(t, filepath.Join("testdata", "framing.golden"), page.String())
}

// BenchmarkFrame measures framing and parsing a message.
func BenchmarkFrame(b *testing.B) {
	for _, m := range measuredMessages(is.New(b)) {
		data, err := jsonrpc2.EncodeMessage(m.call)
		is.New(b).NoErr(err)
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				frame := encodeFrame(data)
				if _, err := decodeFrame(frame[len(frame)-frameBody(frame):]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func frameBody(frame []byte) int {
	size, _ := binary.Uvarint(frame)
	return int(size)
}

// BenchmarkBody measures both codecs with a probe that carries two rows.
func BenchmarkBody(b *testing.B) {
	probe := bfgossip.Probe{From: 1 << 63, Nonce: 1 << 31, Advert: bfgossip.Advert{Version: 96_000, Digest: 1 << 62, Members: 1 << 61}}
	probe.News.Rows = []bfroster.Row{row(1), row(2)}
	b.Run("cbor", func(b *testing.B) {
		for b.Loop() {
			data, err := bfgossip.Encode(probe)
			if _, decodeErr := bfgossip.Decode(data); err != nil || decodeErr != nil {
				b.Fatal(err, decodeErr)
			}
		}
	})
	b.Run("json", func(b *testing.B) {
		for b.Loop() {
			data, err := json.Marshal(probe)
			var read bfgossip.Probe
			if decodeErr := json.Unmarshal(data, &read); err != nil || decodeErr != nil {
				b.Fatal(err, decodeErr)
			}
		}
	})
}
