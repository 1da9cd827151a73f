package bfcrowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberryflow.org/lib/bfhost"
)

// crowd is a number of connections that send the same and stay open.
type crowd struct {
	name        string
	connections int
	// address returns the port that they connect to.
	address func(d *deployment) string
	// send sends what each connection sends.
	send func(to io.Writer) error
	// reads is set if the connections read what they are sent.
	reads bool
}

func callers(d *deployment) string { return d.entry().listen.Caller }
func inbound(d *deployment) string { return d.target().listen.Inbound }

// buffer is what bodies are made of.
var buffer = make([]byte, 64<<10)

// fill writes n bytes.
func fill(to io.Writer, n int) error {
	for n > 0 {
		written, err := to.Write(buffer[:min(n, len(buffer))])
		if err != nil {
			return err
		}
		n -= written
	}
	return nil
}

// text returns a sender of a text without its last byte.
func text(make func() string) func(io.Writer) error {
	return func(to io.Writer) error {
		whole := make()
		_, err := io.WriteString(to, whole[:len(whole)-1])
		return err
	}
}

// shortLines returns header lines of a size.
func shortLines(size int) string { return strings.Repeat("a:\r\n", size/4) }

// namedLines returns header lines of a size, each with a name of its own.
func namedLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// lengthBody returns a sender of a body with a stated length, without its last byte.
func lengthBody(first func() string, size int) func(io.Writer) error {
	return func(to io.Writer) error {
		if _, err := fmt.Fprintf(to, "%sContent-Length: %d\r\n\r\n", first(), size); err != nil {
			return err
		}
		return fill(to, size-1)
	}
}

// chunkedBody returns a sender of a body in chunks without the last one. Each chunk has an extension.
func chunkedBody(first func() string, size, chunk int, extension string) func(io.Writer) error {
	one := fmt.Appendf(nil, "%x%s\r\n%s\r\n", chunk, extension, bytes.Repeat([]byte("x"), chunk))
	several := bytes.Repeat(one, max(1, (64<<10)/len(one)))
	perWrite := len(several) / len(one) * chunk
	return func(to io.Writer) error {
		if _, err := io.WriteString(to, first()+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for sent := 0; sent < size; sent += perWrite {
			if _, err := to.Write(several); err != nil {
				return err
			}
		}
		return nil
	}
}

func takeHead() string { return head(http.MethodPost, takePath) }

// nodeHead returns the head of a request as an entry sends it to a target's node.
func nodeHead() string {
	h := http.Header{}
	bfhost.WritePolicy(h, bfhost.Policy{Service: service, Class: takePath, MaxSlotWait: time.Second})
	var b strings.Builder
	b.WriteString(takeHead())
	_ = h.Write(&b) // a strings.Builder never fails
	return b.String()
}

// meshCrowds are the crowds of each port of a node whose configuration the platform keeps.
func meshCrowds() []crowd {
	end := "\r\n"
	pipelined := func() string {
		return strings.Repeat(head(http.MethodGet, fetchPath)+namedLines(15_000)+end, 8) + "G"
	}
	service := func(port func(m *member) string) func(*deployment) string {
		return func(d *deployment) string { return port(d.target()) }
	}
	get := func() string { return "GET / HTTP/1.1\r\nHost: h\r\n" + namedLines(15_000) + end }
	return []crowd{
		{name: "heads_of_short_lines", connections: 800, address: callers, send: text(func() string { return takeHead() + shortLines(15_800) + end })},
		{name: "heads_of_named_lines", connections: 600, address: callers, send: text(func() string { return takeHead() + namedLines(15_500) + end })},
		{name: "complete_heads_of_named_lines", connections: 400, address: callers, send: lengthBody(func() string { return takeHead() + namedLines(15_000) }, 2000)},
		{name: "pipelined_heads", connections: 100, address: callers, send: text(pipelined)},
		{name: "bodies_of_4_MB", connections: 200, address: callers, send: lengthBody(takeHead, 4<<20)},
		{name: "bodies_of_1_MB", connections: 500, address: callers, send: lengthBody(takeHead, 1<<20)},
		{name: "bodies_of_60_MB", connections: 20, address: callers, send: lengthBody(takeHead, 60<<20)},
		{name: "bodies_of_2_KB", connections: 1400, address: callers, send: lengthBody(takeHead, 2<<10)},
		{name: "4_MB_in_large_chunks", connections: 200, address: callers, send: chunkedBody(takeHead, 4<<20, 64<<10, "")},
		{name: "1_MB_in_large_chunks", connections: 500, address: callers, send: chunkedBody(takeHead, 1<<20, 64<<10, "")},
		{name: "1_MB_in_chunks_of_a_byte", connections: 200, address: callers, send: chunkedBody(takeHead, 1<<20, 1, "")},
		{name: "256_KB_in_chunks_of_a_byte", connections: 600, address: callers, send: chunkedBody(takeHead, 256<<10, 1, "")},
		{name: "256_KB_in_chunks_with_extensions", connections: 300, address: callers, send: chunkedBody(takeHead, 256<<10, 512, ";"+strings.Repeat("e", 200))},
		{name: "trailers", connections: 600, address: callers, send: func(to io.Writer) error {
			_, err := io.WriteString(to, takeHead()+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+namedLines(15_000))
			return err
		}},
		{name: "answers_that_nobody_reads", connections: 300, address: callers, send: func(to io.Writer) error {
			_, err := io.WriteString(to, head(http.MethodGet, fetchPath)+end)
			return err
		}},
		{name: "idle_connections", connections: 1400, address: callers, send: func(to io.Writer) error {
			_, err := io.WriteString(to, head(http.MethodGet, "/nowhere/")+end)
			return err
		}, reads: true},
		{name: "silent_connections", connections: 1400, address: callers, send: func(io.Writer) error { return nil }},
		{name: "heads_between_nodes", connections: 600, address: inbound, send: text(func() string { return nodeHead() + namedLines(15_500) + end })},
		{name: "large_heads_between_nodes", connections: 20, address: inbound, send: text(func() string { return nodeHead() + namedLines(900_000) + end })},
		{name: "bodies_between_nodes", connections: 500, address: inbound, send: lengthBody(nodeHead, 1<<20)},
		{name: "silent_connections_between_nodes", connections: 1400, address: inbound, send: func(io.Writer) error { return nil }},
		{name: "reports", connections: 1400, address: service(func(m *member) string { return m.listen.Target }), send: text(get)},
		{name: "report_bodies", connections: 1400, address: service(func(m *member) string { return m.listen.Target }), send: lengthBody(func() string { return "PUT /v1/instances/x HTTP/1.1\r\nHost: h\r\n" }, 15_000)},
		{name: "readiness", connections: 1400, address: service(func(m *member) string { return m.ready }), send: text(get)},
		{name: "operator", connections: 1400, address: service(func(m *member) string { return m.listen.Operator }), send: text(get)},
		{name: "metrics", connections: 1400, address: service(func(m *member) string { return m.metrics }), send: text(get)},
		{name: "calls", connections: 100, address: service(func(m *member) string { return m.listen.Peer }), send: func(to io.Writer) error {
			// The length of a frame, then less than it.
			if _, err := to.Write([]byte{0x80, 0x80, 0x80, 0x04}); err != nil {
				return err
			}
			return fill(to, 8<<20-1)
		}},
		{name: "silent_calls", connections: 1400, address: service(func(m *member) string { return m.listen.Peer }), send: func(io.Writer) error { return nil }},
	}
}

// open opens the connections of a crowd and returns once they have sent what the node takes.
func (c crowd) open(d *deployment) (closeAll func()) {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var opened []net.Conn
	var running, progress atomic.Int64
	address := c.address(d)
	for range c.connections {
		running.Add(1)
		d.group.Go("client", func(context.Context) error {
			defer running.Add(-1)
			conn, err := (&net.Dialer{Timeout: 10 * time.Second}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil
			}
			mu.Lock()
			opened = append(opened, conn)
			mu.Unlock()
			if c.reads {
				d.group.Go("client reads", func(context.Context) error {
					_, _ = io.Copy(io.Discard, conn)
					return nil
				})
			}
			// The node may refuse it or close the connection.
			_ = c.send(progressWriter{conn, &progress})
			return nil
		})
	}
	awaitQuiet(&running, &progress)
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range opened {
			conn.Close()
		}
	}
}

// awaitQuiet waits until all have sent, or nothing more is taken for a second.
func awaitQuiet(running, progress *atomic.Int64) {
	const limit = 20 * time.Second
	last, since := int64(-1), time.Now()
	for began := time.Now(); running.Load() > 0 && time.Since(began) < limit && time.Since(since) < time.Second; time.Sleep(20 * time.Millisecond) {
		if now := progress.Load(); now != last {
			last, since = now, time.Now()
		}
	}
	time.Sleep(200 * time.Millisecond)
}

// progressWriter counts the bytes written.
type progressWriter struct {
	io.Writer
	progress *atomic.Int64
}

// Write writes p in pieces and counts them.
func (w progressWriter) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = w.Writer.Write(p[written:min(len(p), written+(64<<10))])
		w.progress.Add(int64(n))
		written += n
	}
	return written, err
}

// hold checks a deployment with a crowd.
func (d *deployment) hold(c crowd) {
	d.t.Helper()
	closeAll := c.open(d)
	d.checkMembers()
	d.awaitServed("beside the crowd")
	closeAll()
	d.awaitServed("after the crowd")
	d.checkMembers()
}

// Guards against processes that run out of memory or descriptors, and against ordinary callers that get no
// answer, as clients stop short of the end of their requests.
func TestCrowdOfClients(t *testing.T) {
	programs := binaries(t)
	for _, c := range meshCrowds() {
		t.Run(c.name, func(t *testing.T) { startMesh(t, programs).hold(c) })
	}
}

// Guards against limits that refuse a single request within those of the configuration.
func TestCrowdOfOneIsServed(t *testing.T) {
	d := startMesh(t, binaries(t))
	for name, send := range map[string]func(io.Writer) error{
		"8 MB in chunks with 1500 header lines": func(to io.Writer) error {
			if err := chunkedBody(func() string { return takeHead() + shortLines(6000) }, 8<<20, 64<<10, "")(to); err != nil {
				return err
			}
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		},
		"60 MB": func(to io.Writer) error {
			if err := lengthBody(takeHead, 60<<20)(to); err != nil {
				return err
			}
			return fill(to, 1)
		},
		"head of 16 KB": func(to io.Writer) error {
			_, err := io.WriteString(to, takeHead()+namedLines(15_900)+"\r\n")
			return err
		},
		"1 MB in chunks of a byte": func(to io.Writer) error {
			if err := chunkedBody(takeHead, 1<<20, 1, "")(to); err != nil {
				return err
			}
			_, err := io.WriteString(to, "0\r\n\r\n")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", callers(d))
			d.check(err)
			defer conn.Close()
			d.check(send(conn))
			answer := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(conn, answer)
			if err != nil || string(answer) != "HTTP/1.1 200" {
				t.Errorf("answered %q, %v", answer, err)
			}
		})
	}
	d.checkMembers()
}
