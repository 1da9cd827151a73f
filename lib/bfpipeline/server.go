package bfpipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfresource"
)

// Limits bound callers' requests and connections. Zero fields mean the defaults.
type Limits struct {
	// HeaderBytes and BodyBytes bound the size of a request; BodyBytes has no default limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first to the last byte of a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Defaults of Limits. Without them, a peer that sends its header slowly or endlessly
// would occupy a goroutine and memory forever.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// maxConcurrentPerConn bounds the concurrent requests of one connection. Callers usually
	// have about four in flight; a page loads a few dozen resources.
	maxConcurrentPerConn = 32
	// maxConcurrentTotal bounds the requests, over all connections, that run while an earlier
	// one of their connection is in flight. Each buffers up to 16 KiB of its answer until its
	// turn, 16 MiB in total.
	maxConcurrentTotal = 1024
)

// Config holds the dependencies and settings of a Server.
type Config struct {
	// Name is the port's name in messages.
	Name string
	// Handler serves the requests.
	Handler http.Handler
	// MayRunConcurrently reports whether a request may run concurrently with others of its
	// connection; nil means that none may.
	MayRunConcurrently func(*http.Request) bool
	// RejectHeader returns the handler of requests that can't be read since the header of a name
	// contains control characters. If it is nil or returns nil, they are answered with 400.
	RejectHeader func(name string) http.Handler
	// Limits returns the current limits; nil means the defaults.
	Limits func() Limits
	// Port bounds the connections and what they hold; nil bounds nothing.
	Port *bfresource.Port
	// SendBuffer is the size of a connection's socket send buffer in bytes, 0 for the system
	// default.
	SendBuffer int
	Logger     *bflog.Logger
}

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Port    string
	Address string
	Reason  error
}

// Error includes the port, its address and the reason.
func (e *ListenError) Error() string {
	return e.Port + " port at " + e.Address + ": " + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *ListenError) Unwrap() error { return e.Reason }

// Server is a listening port; it implements the kratos transport.Server.
type Server struct {
	config   Config
	listener net.Listener
	// group runs the goroutines of connections and requests. It is the server's own, so that
	// a stopping process does not wait for requests that Stop has cut off.
	group *bfgroup.Group
	// concurrent counts the requests that run while an earlier one of their connection is in
	// flight.
	concurrent atomic.Int64

	mu       sync.Mutex
	stopping bool
	open     map[*connection]struct{}
	// idle is closed once the server is stopping and no connection is open.
	idle chan struct{}
}

// Listen opens the port; Start serves it. Its errors are of type ListenError.
func Listen(address string, config Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Port: config.Name, Address: address, Reason: err}
	}
	return &Server{
		config: config, listener: listener, group: bfgroup.New(context.Background()),
		open: map[*connection]struct{}{}, idle: make(chan struct{}),
	}, nil
}

// Address is the listening address, with the port chosen by the system if the configured
// one was 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// OpenConnections is the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// acceptRetryDelay is the pause after a temporary accept error, such as a lack of file
// descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Start serves connections until Stop.
func (s *Server) Start(context.Context) error {
	for {
		accepted, err := s.listener.Accept()
		var netErr net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &netErr):
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return err
		}
		s.serveConn(accepted)
	}
}

// serveConn serves an accepted connection in a goroutine of its own.
func (s *Server) serveConn(accepted net.Conn) {
	if tcp, ok := accepted.(*net.TCPConn); ok && s.config.SendBuffer > 0 {
		// On an error the system's default buffer size stays in effect.
		_ = tcp.SetWriteBuffer(s.config.SendBuffer)
	}
	held, err := s.config.Port.Accept(accepted)
	if err != nil {
		// Nothing was read from it, so that its caller may send its request again.
		accepted.Close()
		return
	}
	c := newConnection(s.group.Context(), s, accepted, held)
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		accepted.Close()
		held.Close()
		return
	}
	s.open[c] = struct{}{}
	s.mu.Unlock()
	s.group.Go(s.config.Name+" connection", func(context.Context) error {
		defer s.remove(c)
		defer held.Close()
		c.serve()
		return nil
	})
}

// remove removes a closed connection.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.closeIfIdle()
}

// closeIfIdle closes s.idle if the server is stopping and no connection is open. s.mu must
// be held.
func (s *Server) closeIfIdle() {
	if !s.stopping || len(s.open) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// Stop accepts no more connections, waits until the requests already read are answered,
// and closes the remaining connections when ctx ends, returning its error.
func (s *Server) Stop(ctx context.Context) error {
	s.closeListener()
	for _, c := range s.beginStop() {
		c.stop()
	}
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.conn.Close()
	}
	return ctx.Err()
}

// closeListener closes the listener and the connections that wait to be accepted: the system would reset
// them.
func (s *Server) closeListener() {
	waiting := s.acceptWaiting()
	s.listener.Close()
	for _, fd := range waiting {
		// Nothing was read from the connection, so that nothing is lost.
		_ = syscall.Close(fd)
	}
}

// acceptWaiting accepts the connections that wait, and returns their descriptors.
func (s *Server) acceptWaiting() (waiting []int) {
	listener, ok := s.listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	// The listener may be closed already; nothing waits then.
	_ = raw.Control(func(listening uintptr) {
		for {
			fd, _, err := syscall.Accept4(int(listening), syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			waiting = append(waiting, fd)
		}
	})
	return waiting
}

// beginStop marks the server as stopping and returns the open connections.
func (s *Server) beginStop() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.closeIfIdle()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	return open
}

// limits returns the current limits with defaults filled in.
func (s *Server) limits() Limits {
	var l Limits
	if s.config.Limits != nil {
		l = s.config.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
