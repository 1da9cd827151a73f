package bfcrowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"bilberryflow.org/bftrial/internal/bffleet"
	"bilberryflow.org/lib/bfevent"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhop"
	"bilberryflow.org/lib/bfrecord"
)

const ownConfiguration = `stage opening {
  create service vault slots 8;
  create policy take class approval deadline 60s priority 5 queue 100;
  create policy fetch class lookup idempotent deadline 60s priority 5 queue 100;
  create route take prefix "/take" methods POST service vault policy take;
  create route fetch prefix "/fetch" methods GET service vault policy fetch
}`

// startOwn starts nodes of the product's own interface.
func startOwn(t *testing.T, programs string) *deployment {
	const convergeLimit = 10 * time.Second
	d := newDeployment(t, programs)
	for i, name := range []string{"entry", "n1", "n2"} {
		settings := bffleet.NodeSettings{
			Instance: name, Region: "trial", FailureDomain: "zone-1", Service: service, Machine: machine,
			Requests: map[string]any{"maxBody": 64 << 20, "bodyTimeout": requestTimeout.String(), "protocol": "http2"},
		}
		if i == 0 {
			settings.Service = "front"
		}
		node, err := d.fleet.StartNode(settings)
		d.check(err)
		d.members = append(d.members, &member{process: node.Process, listen: node.Settings().Listen})
		if i > 0 {
			_, err := d.fleet.StartTarget(node, bffleet.TargetSettings{Slots: slots, ServiceTime: "1ms"})
			d.check(err)
		}
	}
	d.check(d.fleet.AwaitNodes())
	d.check(d.fleet.AwaitMembers(convergeLimit))
	for _, command := range []string{ownConfiguration, "diff opening", "confirm opening"} {
		d.runCommand(command, convergeLimit)
	}
	d.check(d.fleet.AwaitVersion(1, convergeLimit))
	d.post = d.postToOwn
	d.watch()
	d.awaitServed("before the crowd")
	return d
}

// runCommand runs an operator's command. A node that has just started refuses commands until it has recovered its
// configuration.
func (d *deployment) runCommand(command string, limit time.Duration) {
	d.t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		result, err := d.fleet.RunCommand(d.fleet.Nodes()[0], command)
		d.check(err)
		if result.Code == 0 {
			return
		}
		if time.Since(began) > limit {
			d.t.Fatal(result.Output)
		}
	}
}

func (d *deployment) postToOwn(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry().listen.Caller+takePath+"x", strings.NewReader(strings.Repeat("x", ordinaryBytes)))
	d.check(err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.Header.Get(bfheader.Outcome) == bfheader.OutcomeDone
}

func ownHead() string { return "POST " + takePath + "x HTTP/1.1\r\nHost: h\r\n" }

// ownNodeHead returns the head of a request between nodes.
func ownNodeHead() string {
	entry := bfrecord.NodeIncarnation{Instance: "entry", Incarnation: 1}
	h := http.Header{}
	err := bfhop.Meta{
		ID:   bfrecord.ID{Entry: entry, Counter: uint64(requestIDs.Add(1))},
		Home: bfrecord.NodeIncarnation{Instance: "n1", Incarnation: 1}, Route: "take", Stamp: bfevent.Stamp{}, TimeLeft: requestTimeout,
	}.Write(h)
	if err != nil {
		panic(err) // the stamp is a constant
	}
	var b strings.Builder
	b.WriteString(ownHead())
	_ = h.Write(&b) // a strings.Builder never fails
	return b.String()
}

// streams returns a sender of an HTTP/2 connection with requests whose headers are split into a frame and
// its continuations; the last continuation of each connection is missing.
func streams(count, fields int) func(io.Writer) error {
	return func(to io.Writer) error {
		if _, err := io.WriteString(to, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(to, nil)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for i := range count {
			block.Reset()
			list := []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "h"}, {Name: ":path", Value: takePath + "x"}}
			for j := range fields {
				list = append(list, hpack.HeaderField{Name: fmt.Sprintf("x%x", j)})
			}
			for _, field := range list {
				if err := encoder.WriteField(field); err != nil {
					return err
				}
			}
			stream, half := uint32(2*i+1), block.Len()/2
			if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes()[:half]}); err != nil {
				return err
			}
			if i == count-1 {
				return nil
			}
			if err := framer.WriteContinuation(stream, true, block.Bytes()[half:]); err != nil {
				return err
			}
			if err := framer.WriteData(stream, false, buffer[:1000]); err != nil {
				return err
			}
		}
		return nil
	}
}

// resets returns a sender of an HTTP/2 connection with requests that are reset at once.
func resets(count int) func(io.Writer) error {
	return func(to io.Writer) error {
		if _, err := io.WriteString(to, http2.ClientPreface); err != nil {
			return err
		}
		framer := http2.NewFramer(to, nil)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for i := range count {
			block.Reset()
			for _, field := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "h"}, {Name: ":path", Value: takePath + "x"}} {
				if err := encoder.WriteField(field); err != nil {
					return err
				}
			}
			stream := uint32(2*i + 1)
			if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
				return err
			}
			if err := framer.WriteRSTStream(stream, http2.ErrCodeCancel); err != nil {
				return err
			}
		}
		return nil
	}
}

// ownCrowds are the crowds of each port of a node of the product's own interface.
func ownCrowds() []crowd {
	end := "\r\n"
	port := func(port func(m *member) string) func(*deployment) string {
		return func(d *deployment) string { return port(d.target()) }
	}
	get := func() string { return "GET / HTTP/1.1\r\nHost: h\r\n" + namedLines(15_000) + end }
	return []crowd{
		{name: "heads", connections: 600, address: callers, send: text(func() string { return ownHead() + namedLines(15_500) + end })},
		{name: "complete_heads", connections: 400, address: callers, send: lengthBody(func() string { return ownHead() + namedLines(15_000) }, 2000)},
		{name: "bodies_of_1_MB", connections: 500, address: callers, send: lengthBody(ownHead, 1<<20)},
		{name: "bodies_of_60_MB", connections: 20, address: callers, send: lengthBody(ownHead, 60<<20)},
		{name: "stated_bodies_that_never_begin", connections: 200, address: callers, send: func(to io.Writer) error {
			_, err := io.WriteString(to, ownHead()+"Content-Length: 60000000\r\n\r\nx")
			return err
		}},
		{name: "1_MB_in_large_chunks", connections: 500, address: callers, send: chunkedBody(ownHead, 1<<20, 64<<10, "")},
		{name: "256_KB_in_chunks_of_a_byte", connections: 600, address: callers, send: chunkedBody(ownHead, 256<<10, 1, "")},
		{name: "silent_connections", connections: 1400, address: callers, send: func(io.Writer) error { return nil }},
		{name: "heads_between_nodes", connections: 600, address: inbound, send: text(func() string { return ownNodeHead() + namedLines(15_500) + end })},
		{name: "bodies_between_nodes", connections: 500, address: inbound, send: lengthBody(ownNodeHead, 1<<20)},
		{name: "streams_between_nodes", connections: 30, address: inbound, send: streams(100, 1000), reads: true},
		{name: "streams_that_are_reset", connections: 30, address: inbound, send: resets(3000), reads: true},
		{name: "announcements", connections: 1400, address: port(func(m *member) string { return m.listen.Target }), send: text(get)},
		{name: "operator", connections: 1400, address: port(func(m *member) string { return m.listen.Operator }), send: text(get)},
		{name: "silent_calls", connections: 1400, address: port(func(m *member) string { return m.listen.Peer }), send: func(io.Writer) error { return nil }},
	}
}

// Guards against processes of the own interface that run out of memory or descriptors, and against ordinary
// callers that get no answer, as clients stop short of the end of their requests.
func TestCrowdOfClientsOfTheOwnInterface(t *testing.T) {
	programs := binaries(t)
	for _, c := range ownCrowds() {
		t.Run(c.name, func(t *testing.T) { startOwn(t, programs).hold(c) })
	}
}
