package bfpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/exp/jsonrpc2"

	"bilberryflow.org/lib/bfresource"
)

const (
	// writeTimeout bounds one write. A peer that stopped reading fills the socket buffer, and
	// the blocked write would hold up all other messages of the connection.
	writeTimeout = 5 * time.Second
	// idleTimeout bounds the silence on an accepted connection. The caller closes its idle
	// connections sooner, so a longer silence means that the peer is gone.
	idleTimeout = 2 * time.Minute
)

// stream is a connection with timeouts for reads and writes.
type stream struct {
	net.Conn
	idle time.Duration
	// stopClose stops the AfterFunc that closes the connection when its context ends.
	stopClose func() bool
}

// newStream makes a stream that is closed when ctx ends. An idle timeout of 0 means none.
func newStream(ctx context.Context, conn net.Conn, idle time.Duration) *stream {
	return &stream{Conn: conn, idle: idle, stopClose: context.AfterFunc(ctx, func() { conn.Close() })}
}

// held returns what the process holds for an accepted connection, nil for others.
func (s *stream) held() *bfresource.Conn {
	if accepted, ok := s.Conn.(*bfresource.Accepted); ok {
		return accepted.Held()
	}
	return nil
}

// Close closes the connection and releases its AfterFunc, which would otherwise keep the
// connection in memory until the context ends.
func (s *stream) Close() error {
	s.stopClose()
	return s.Conn.Close()
}

// Read reads with the idle timeout.
func (s *stream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(p)
}

// Write writes with writeTimeout and closes the connection on an error.
func (s *stream) Write(p []byte) (int, error) {
	if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := s.Conn.Write(p)
	if err != nil {
		_ = s.Close()
	}
	return n, err
}

// streamListener adapts a net.Listener to jsonrpc2.
type streamListener struct {
	net.Listener
	ctx context.Context
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Accept waits for a connection, which is closed when the listener's context ends.
//
// It retries after temporary errors, such as a lack of file descriptors: jsonrpc2 would stop
// serving on any error, and peers could not call this node any more.
func (l streamListener) Accept(context.Context) (io.ReadWriteCloser, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return newStream(l.ctx, conn, idleTimeout), nil
		}
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return nil, err
		}
		pause, cancel := context.WithTimeout(l.ctx, acceptRetryDelay)
		<-pause.Done()
		cancel()
	}
}

// Dialer returns nil, since peers are dialled by address.
func (l streamListener) Dialer() jsonrpc2.Dialer { return nil }

// streamDialer opens one connection.
type streamDialer struct {
	dialer  *net.Dialer
	address string
	// dialing bounds the connection setup, life the open connection.
	dialing, life context.Context
}

// Dial opens the connection.
func (d streamDialer) Dial(context.Context) (io.ReadWriteCloser, error) {
	conn, err := d.dialer.DialContext(d.dialing, "tcp", d.address)
	if err != nil {
		return nil, err
	}
	return newStream(d.life, conn, 0), nil
}
