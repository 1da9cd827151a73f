package bfserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"bilberryflow.org/lib/bfpacker"
)

// Limits of a connection. A peer that sends its header slowly or without end
// would otherwise hold a goroutine and memory for as long as it likes.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeader         = 32 << 10 // bytes
)

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Port    string
	Address string
	Reason  error
}

// Error names the port, its address and the reason.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s port at %s: %v", e.Port, e.Address, e.Reason)
}

// Unwrap is the reason.
func (e *ListenError) Unwrap() error { return e.Reason }

// Port is one listening HTTP port of a process.
type Port struct {
	*khttp.Server
	listener net.Listener
}

// Address is where the port listens, with the number that the system chose where the settings gave 0.
func (p *Port) Address() string { return p.listener.Addr().String() }

// Listen opens the port called name at address and serves handler there once it is started.
//
// The handler takes every request itself: kratos's router would redirect
// paths it finds unclean and offer /debug/vars on ports meant for callers.
func Listen(name, address string, handler http.Handler, secure *tls.Config) (*Port, error) {
	return open(name, address, handler, secure, nil)
}

// ListenPacked is Listen for peers that may pack the heads of their requests; those are
// answered likewise.
func ListenPacked(name, address string, handler http.Handler) (*Port, error) {
	return open(name, address, handler, nil, func(c net.Conn) net.Conn { return bfpacker.Accept(c) })
}

// wrapper is a listener whose connections are used through what wrap makes of them.
type wrapper struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept gives the next connection.
func (w wrapper) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return w.wrap(c), nil
}

func open(name, address string, handler http.Handler, secure *tls.Config, wrap func(net.Conn) net.Conn) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Port: name, Address: address, Reason: err}
	}
	if wrap != nil {
		listener = wrapper{listener, wrap}
	}
	options := []khttp.ServerOption{
		khttp.Listener(listener),
		khttp.Address(address),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	}
	if secure != nil {
		options = append(options, khttp.TLSConfig(secure))
	}
	server := khttp.NewServer(options...)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeader
	return &Port{Server: server, listener: listener}, nil
}

// SendBuffer bounds the bytes that wait in the system for each connection's peer.
//
// On a slow link a few long answers would else put so many bytes before a short
// one that it comes too late.
func (p *Port) SendBuffer(bytes int) {
	p.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connection, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
			// A system that does not allow it sends as it would anyway.
			_ = connection.SetWriteBuffer(bytes)
		}
		return ctx
	}
}

// AllowHTTP2 lets peers put many requests on one connection without TLS.
func (p *Port) AllowHTTP2() {
	p.Protocols = new(http.Protocols)
	p.Protocols.SetHTTP1(true)
	p.Protocols.SetUnencryptedHTTP2(true)
}

// LoadTLS reads a certificate and its key, or gives nil where neither is set.
func LoadTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" && key == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("operator certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// Quiet turns off kratos's own log lines; the programs log their own events.
func Quiet() { log.SetLogger(discard{}) }

type discard struct{}

// Log drops the line.
func (discard) Log(log.Level, ...any) error { return nil }

// Closed reports whether err is a server's ordinary end.
func Closed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
