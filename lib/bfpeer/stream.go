package bfpeer

import (
	"context"
	"io"
	"net"
	"time"

	"golang.org/x/exp/jsonrpc2"
)

const (
	// writeTimeout bounds one write. A peer that stopped reading fills the
	// socket's buffer, and the write would hold the connection's other
	// messages back for good.
	writeTimeout = 5 * time.Second
	// idleTimeout ends an accepted connection on which nothing comes: the
	// caller closes its own idle ones sooner, so this one has lost its peer.
	idleTimeout = 2 * time.Minute
)

// stream is a connection whose reads and writes can't wait for good.
type stream struct {
	net.Conn
	idle time.Duration
}

// Read reads, or fails after the idle time if there is one.
func (s stream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(p)
}

// Write writes, or closes the connection.
func (s stream) Write(p []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	if err != nil {
		s.Close()
	}
	return n, err
}

// streamListener hands a listener's connections to jsonrpc2.
type streamListener struct {
	net.Listener
	ctx context.Context
}

// Accept waits for a connection; it is closed when the listener's context ends.
func (l streamListener) Accept(context.Context) (io.ReadWriteCloser, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	context.AfterFunc(l.ctx, func() { conn.Close() })
	return stream{Conn: conn, idle: idleTimeout}, nil
}

// Dialer is not offered: peers dial by address.
func (l streamListener) Dialer() jsonrpc2.Dialer { return nil }

// streamDialer opens connections to one address.
type streamDialer struct {
	dialer  *net.Dialer
	address string
}

// Dial opens a connection.
func (d streamDialer) Dial(ctx context.Context) (io.ReadWriteCloser, error) {
	conn, err := d.dialer.DialContext(ctx, "tcp", d.address)
	if err != nil {
		return nil, err
	}
	return stream{Conn: conn}, nil
}
