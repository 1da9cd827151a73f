package bfexchange

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// sendsOnce returns the address of a peer that answers with a text, and closes the connection.
func sendsOnce(t *testing.T, text string) string {
	t.Helper()
	return newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_ = readOne(in)
		_, _ = io.WriteString(c, text)
	}).address()
}

const soundEnd = idHeader + ": 1\r\nContent-Length: 5\r\n\r\nhello"

// Guards against an answer with a status that is none (MIXED): it was taken for an informational one, so
// that its request waited for another until its deadline.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			ok := "HTTP/1.1 200 OK\r\n" + soundEnd
			_, err := exchange(t, client(), sendsOnce(t, "HTTP/1.1 "+status+" Odd\r\n"+soundEnd), "1")
			is.True(err != nil)
			_, err = exchange(t, client(), sendsOnce(t, "HTTP/1.1 "+status+" Odd\r\n\r\n"+ok), "1")
			is.True(err != nil) // also before a sound one
			_, err = exchange(t, client(), sendsOnce(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" Odd\r\n"+soundEnd), "1")
			is.True(err != nil)
		})
	}
}

// Guards against an answer in whose head the name of a field is none (MIXED): its line was passed on, or hid
// the framing that the server meant.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", "Content-Length : 5", "Content-Length : 2", "Transfer-Encoding : chunked", "X-\x01: 1", "X-\x0b: 1", "X(Odd): 1", "X-Odd\t: 1", ": 1",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			_, err := exchange(t, client(), sendsOnce(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+soundEnd), "1")
			is.True(err != nil)
			_, err = exchange(t, client(), sendsOnce(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+soundEnd), "1")
			is.True(err != nil) // in an informational answer
			_, err = exchange(t, client(), sendsOnce(t,
				"HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"+line+"\r\n\r\n"), "1")
			is.True(err != nil) // in the trailer
		})
	}
}

// Guards against a check of answers that refuses sound ones.
func TestSoundAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + soundEnd,
		"HTTP/1.1 200 OK\r\nx-Odd_name.1: \t a\x80b\r\n" + soundEnd,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 299 Odd\r\n" + soundEnd,
		"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		is := is.New(t)
		body, err := exchange(t, client(), sendsOnce(t, head), "1")
		is.NoErr(err)
		is.Equal(body, "hello")
	}
}
