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

	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfpacker"
	"bilberryflow.org/lib/bfresource"
)

// Limits of a connection. Without them, a client that sends its header slowly or without end
// would hold a goroutine and memory indefinitely.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeader         = 32 << 10 // bytes
)

// ListenError reports a failure to listen on an address.
type ListenError struct {
	Port    string
	Address string
	Reason  error
}

// Error names the port, its address and the reason.
func (e *ListenError) Error() string {
	return fmt.Sprintf("%s port at %s: %v", e.Port, e.Address, e.Reason)
}

// Unwrap returns the reason.
func (e *ListenError) Unwrap() error { return e.Reason }

// Port is one listening HTTP port of a process.
type Port struct {
	*khttp.Server
	listener net.Listener
}

// Address returns the listening address, with the port number the system chose if it was 0.
func (p *Port) Address() string { return p.listener.Addr().String() }

// Options are what ports differ in; the zero value is a plain port without bounds.
type Options struct {
	// TLS is nil for a port without TLS.
	TLS *tls.Config
	// Bounds bounds the connections and what they hold; nil bounds nothing.
	Bounds *bfresource.Port
	// Exhausted answers the requests for which no memory is left; nil means a plain refusal.
	Exhausted http.HandlerFunc
}

// Listen opens the port called name at address; it serves handler once it is started. It fails
// with a ListenError.
//
// The handler bypasses kratos's router, which would redirect paths that aren't clean and
// serve /debug/vars on ports for callers.
func Listen(name, address string, handler http.Handler, options Options) (*Port, error) {
	return open(name, address, handler, options, nil)
}

// ListenPacked is Listen for clients that may send packed request headers, as bfpacker
// implements them; their responses have packed headers too. invalid is called with the error of each
// connection that is closed for a frame that can't be decoded; nil is allowed.
func ListenPacked(name, address string, handler http.Handler, options Options, invalid func(error)) (*Port, error) {
	port, err := open(name, address, handler, options, func(c net.Conn) net.Conn { return bfpacker.Accept(c, invalid) })
	if err != nil {
		return nil, err
	}
	// What a caller may send has to get through between nodes as well.
	port.MaxHeaderBytes = bfheader.MaxHead + bfheader.MaxInternal
	return port, nil
}

// wrapper is a listener that passes each accepted connection through wrap.
type wrapper struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept returns the next connection, wrapped.
func (w wrapper) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return w.wrap(c), nil
}

func open(name, address string, handler http.Handler, options Options, wrap func(net.Conn) net.Conn) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Port: name, Address: address, Reason: err}
	}
	if wrap != nil {
		listener = wrapper{listener, wrap}
	}
	if options.Bounds != nil {
		listener, handler = boundListener{listener, options.Bounds}, newBoundHandler(handler, options.Exhausted)
	}
	serverOptions := []khttp.ServerOption{
		khttp.Listener(listener),
		khttp.Address(address),
		khttp.Timeout(0),
		khttp.Filter(func(http.Handler) http.Handler { return handler }),
	}
	if options.TLS != nil {
		serverOptions = append(serverOptions, khttp.TLSConfig(options.TLS))
	}
	server := khttp.NewServer(serverOptions...)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeader
	port := &Port{Server: server, listener: listener}
	if options.Bounds != nil {
		port.ConnState, port.ConnContext = followState, addBoundConn
	}
	return port, nil
}

// SendBuffer sets the size, in bytes, of the kernel's send buffer for each connection.
//
// On a slow link, a large buffer filled by long responses would delay the short response
// behind them.
func (p *Port) SendBuffer(bytes int) {
	earlier := p.ConnContext
	p.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if earlier != nil {
			ctx = earlier(ctx, c)
		}
		if connection, ok := c.(interface{ SetWriteBuffer(int) error }); ok {
			// If this fails, the connection keeps the system's default.
			_ = connection.SetWriteBuffer(bytes)
		}
		return ctx
	}
}

// AllowHTTP2 enables HTTP/2 without TLS (h2c) beside HTTP/1.1.
func (p *Port) AllowHTTP2() {
	p.Protocols = new(http.Protocols)
	p.Protocols.SetHTTP1(true)
	p.Protocols.SetUnencryptedHTTP2(true)
	p.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connectionWindow, MaxReceiveBufferPerStream: streamWindow}
}

const (
	// maxStreams bounds the concurrent requests of a connection.
	maxStreams = 128
	// connectionWindow and streamWindow bound the bytes of bodies, of a connection and of a request, that
	// arrive before they are read.
	connectionWindow = 256 << 10
	streamWindow     = 64 << 10
)

// LoadTLS reads a certificate and its key from files. It returns nil if neither is set.
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

// DisableKratosLog disables kratos's log output; the programs log through bflog.
func DisableKratosLog() { log.SetLogger(discard{}) }

type discard struct{}

// Log implements log.Logger and drops the line.
func (discard) Log(log.Level, ...any) error { return nil }

// Closed reports whether err is the error of a server that was closed regularly.
func Closed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
