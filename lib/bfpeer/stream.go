package bfpeer

import (
	"context"
	"errors"
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
	// release ends the subscription to the context that closes the connection.
	release func() bool
}

// newStream makes a stream that is closed when ctx ends.
func newStream(ctx context.Context, conn net.Conn, idle time.Duration) *stream {
	return &stream{Conn: conn, idle: idle, release: context.AfterFunc(ctx, func() { conn.Close() })}
}

// Close closes the connection and forgets it: kept with the context, each
// connection ever accepted would stay in memory for as long as the process runs.
func (s *stream) Close() error {
	s.release()
	return s.Conn.Close()
}

// Read reads, or fails after the idle time if there is one.
func (s *stream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(p)
}

// Write writes, or closes the connection.
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

// streamListener hands a listener's connections to jsonrpc2.
type streamListener struct {
	net.Listener
	ctx context.Context
}

// acceptWait is the pause after an accept that failed for lack of something.
const acceptWait = 50 * time.Millisecond

// Accept waits for a connection; it is closed when the listener's context ends.
//
// A process that runs out of files, or a peer that resets before it is
// accepted, fails one accept only. Handed to the library the error would end
// the listening for good, and no other node could ask this one again.
func (l streamListener) Accept(context.Context) (io.ReadWriteCloser, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return newStream(l.ctx, conn, idleTimeout), nil
		}
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return nil, err
		}
		pause, cancel := context.WithTimeout(l.ctx, acceptWait)
		<-pause.Done()
		cancel()
	}
}

// Dialer is not offered: peers dial by address.
func (l streamListener) Dialer() jsonrpc2.Dialer { return nil }

// streamDialer opens one connection.
type streamDialer struct {
	dialer  *net.Dialer
	address string
	// dialing bounds the opening, life the open connection.
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
