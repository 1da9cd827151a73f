package bfexchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const notRunHeader = "X-Test-Not-Run"

// shed is the answer of a target that states that it has not run a request.
func shed(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", idHeader, id, notRunHeader)
}

// sendStatus sends a request and returns the status of its answer.
func sendStatus(t *testing.T, c *Client, address, id string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := c.Send(ctx, address, request(id))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Discard()
	return a.Status()
}

// Guards against taking a repeated "not run" of a request's first send for the answer to its second send.
func TestRepeatedRefusalIsNotTheAnswerToASecondSend(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(number int, c net.Conn, in *bufio.Reader) {
		if number == 1 {
			id := readOne(in)
			_, _ = io.WriteString(c, shed(id))
			if readOne(in) != "" {
				_, _ = io.WriteString(c, shed(id)+answer(id, "ran"))
			}
			return
		}
		for id := readOne(in); id != ""; id = readOne(in) {
			_, _ = io.WriteString(c, answer(id, "ran"))
		}
	})
	c := client()
	is.Equal(sendStatus(t, c, p.address(), "1"), 503)
	is.Equal(sendStatus(t, c, p.address(), "1"), 200) // the second send ran
}

// Guards against connections that are closed, or opened for requests that no connection has carried.
func TestConnectionThatCarriedARequestIsKeptForOthers(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for id := readOne(in); id != ""; id = readOne(in) {
			_, _ = io.WriteString(c, shed(id))
		}
	})
	c := client()
	for range 3 {
		for id := range 20 {
			is.Equal(sendStatus(t, c, p.address(), fmt.Sprint(id)), 503)
		}
	}
	is.Equal(p.opened.Load(), int32(3)) // one for each time that a request was sent
	is.Equal(len(c.idle[p.address()]), 3)
}

// Guards against a history that grows as long as its connection is used.
func TestHistoryForgetsRequestsAfterTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var h history
		for id := range uint64(10_000) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			h.add(ctx, id, time.Now())
			cancel()
			time.Sleep(10 * time.Millisecond)
			is.True(h.has(id))
			is.True(id < 90 || h.has(id-90)) // before its deadline
		}
		is.True(cap(h.carried) <= 256) // about 100 are before their deadline
	})
}

// Guards against forgetting a request that has no deadline.
func TestHistoryKeepsRequestsWithoutDeadline(t *testing.T) {
	is := is.New(t)
	var h history
	for id := range uint64(100) {
		h.add(context.Background(), id, time.Now())
	}
	for id := range uint64(100) {
		is.True(h.has(id))
	}
}

// Guards against taking the answer to an earlier request for the one to a request without an ID.
func TestAnswerWithAnIDIsNotThatOfARequestWithoutOne(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		_ = readOne(in)
		_, _ = io.WriteString(c, answer("1", "own"))
		_ = readOne(in)
		_, _ = io.WriteString(c, answer("1", "late copy")+shed(""))
	})
	c := client()
	is.Equal(sendStatus(t, c, p.address(), "1"), 200)
	is.Equal(sendStatus(t, c, p.address(), ""), 503)
}
