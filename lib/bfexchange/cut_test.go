package bfexchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// cutHeads are answers by name; their bodies are not part of the cut.
var cutHeads = map[string]string{
	"stated length":            "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 5\r\n\r\n",
	"empty":                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + idHeader + ": 1\r\n\r\n",
	"chunked":                  "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"ends with its connection": "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nConnection: close\r\n\r\n",
	"no length stated":         "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n",
	"older protocol":           "HTTP/1.0 200 OK\r\n" + idHeader + ": 1\r\n\r\n",
	"after informational":      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n",
	"folded line":              "HTTP/1.1 200 OK\r\n" + idHeader + ":\r\n 1\r\nContent-Length: 5\r\n\r\n",
	"bare line feeds":          "HTTP/1.1 200 OK\n" + idHeader + ": 1\nConnection: close\n\n",
	"no content":               "HTTP/1.1 204 No Content\r\n" + idHeader + ": 1\r\n\r\n",
}

// Guards against taking an answer whose head was cut off for a complete one.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for length := range head {
				p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
					_ = readOne(in)
					_, _ = io.WriteString(c, head[:length])
				})
				_, err := exchange(t, client(), p.address(), "1")
				is.True(err != nil)
			}
		})
	}
}

// Guards against taking an answer whose body was cut off for a complete one, also of the answers that follow
// an informational one.
func TestCutBodyIsNoAnswer(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n"} {
		for _, body := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"} {
			t.Run(fmt.Sprintf("%.12s %.8s", head, body), func(t *testing.T) {
				is := is.New(t)
				whole := head + "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n" + body
				for length := len(whole) - len(body); length < len(whole); length++ {
					p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
						_ = readOne(in)
						_, _ = io.WriteString(c, whole[:length])
					})
					_, err := exchange(t, client(), p.address(), "1")
					is.True(err != nil)
				}
			})
		}
	}
}
