package bfsimtarget

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// endless are the beginnings of responses and what is repeated without an end; {id} stands for the
// header with the ID of the request.
var endless = []struct{ first, again string }{
	{"HTTP/1.1 200 ", "x"},
	{"HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"},
	{"", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"", "\x00\x01"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{id}\r\n1;", "x"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{id}\r\n1\r\nx\r\n0\r\n", "X-Y: z\r\n"},
	{"HTTP/1.1 200 OK\r\nConnection: close\r\n{id}\r\n", "x"},
}

// endlessPause is the pause after each piece of a slow response.
const endlessPause = 20 * time.Millisecond

// respondEndlessly sends a response without an end, fast or slowly, until the node closes the connection.
func (t *Target) respondEndlessly(w http.ResponseWriter, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	chosen := endless[rand.IntN(len(endless))]
	piece, pause := chosen.again, endlessPause
	if rand.IntN(2) == 0 {
		const repeat = 4 << 10
		piece, pause = strings.Repeat(piece, repeat), 0
	}
	_, err = io.WriteString(c, strings.ReplaceAll(chosen.first, "{id}", headers.RequestID+": "+id+"\r\n"))
	for err == nil && t.state.Load() != 0 {
		time.Sleep(pause)
		_, err = io.WriteString(c, piece)
	}
}
