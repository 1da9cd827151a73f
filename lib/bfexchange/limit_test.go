package bfexchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo returns the address of a peer that answers requests until its connections end.
func echo(t *testing.T) string {
	return newPeer(t, func(_ int, c net.Conn, in *bufio.Reader) {
		for id := readOne(in); id != ""; id = readOne(in) {
			_, _ = io.WriteString(c, answer(id, "whole"))
		}
	}).address()
}

// Guards against a client that takes all descriptors of its process, and against one that keeps idle
// connections while others are wanted.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	c := New(Options{IDHeader: idHeader, DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, MaxOpen: 2})
	first, second, third := echo(t), echo(t), echo(t)
	for _, address := range []string{first, second, third, second} {
		_, err := exchange(t, c, address, "1"+address)
		is.NoErr(err)
		is.True(c.Open() <= 2)
	}
	is.Equal(len(c.idle[first]), 0) // idle for the longest time
	held, err := c.Send(context.Background(), second, request("2"))
	is.NoErr(err)
	other, err := c.Send(context.Background(), third, request("3"))
	is.NoErr(err)
	_, err = exchange(t, c, first, "4")
	is.True(IsOutOfConnections(err))
	held.Close()
	_, err = exchange(t, c, first, "5")
	is.NoErr(err)
	other.Close()
	is.Equal(c.Open(), int64(1))
	_, err = exchange(t, c, "127.0.0.1:1", "6") // nobody listens
	is.True(err != nil && !IsOutOfConnections(err))
	is.Equal(c.Open(), int64(1))
}
