package bfpipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bflog"
)

// Limits bound what a caller may send; a zero field takes the package's default.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Defaults of Limits. A peer that sends its header slowly or without end would
// otherwise hold a goroutine and memory for as long as it likes.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// maxBeside is how many requests of one connection run at once. Callers of the
	// platform have about four open; a page loads a few dozen parts.
	maxBeside = 32
	// maxBesideAll is how many requests of all connections run beside an earlier one
	// of theirs. Each holds up to 16 KiB of its answer until its turn: 16 MiB at most,
	// a seventh of what a node may use.
	maxBesideAll = 1024
)

// Parts is what a Server works with.
type Parts struct {
	// Name is the port's name in messages.
	Name string
	// Handler takes each request to its end.
	Handler http.Handler
	// Beside reports whether a request may run while others of its connection do, nil
	// where none may.
	Beside func(*http.Request) bool
	// Limits are those in force, nil for the defaults.
	Limits func() Limits
	// SendBuffer bounds the bytes that wait in the system for a connection's peer, 0
	// for the system's own bound.
	SendBuffer int
	Logger     *bflog.Logger
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Port    string
	Address string
	Reason  error
}

// Error names the port, its address and the reason.
func (e *ListenError) Error() string {
	return e.Port + " port at " + e.Address + ": " + e.Reason.Error()
}

// Unwrap is the reason.
func (e *ListenError) Unwrap() error { return e.Reason }

// Server is one listening port; it is a kratos transport.Server.
type Server struct {
	parts    Parts
	listener net.Listener
	// group holds the goroutines of connections and requests. It is the server's own: a
	// process that stops does not wait for a request that its stop has cut.
	group *bfgroup.Group
	// beside counts the requests that run beside an earlier one of their connection.
	beside atomic.Int64

	mu       sync.Mutex
	stopping bool
	open     map[*connection]struct{}
	// idle is closed once the server stops and no connection is open.
	idle chan struct{}
}

// Listen opens the port; it is served once it is started.
func Listen(address string, parts Parts) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Port: parts.Name, Address: address, Reason: err}
	}
	return &Server{
		parts: parts, listener: listener, group: bfgroup.New(context.Background()),
		open: map[*connection]struct{}{}, idle: make(chan struct{}),
	}, nil
}

// Address is where the port listens, with the number that the system chose where the settings gave 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Open is how many connections are open.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// acceptPause is how long to wait after a connection could not be taken for want of
// descriptors: until some of those in use are closed.
const acceptPause = 5 * time.Millisecond

// Start serves connections until Stop.
func (s *Server) Start(context.Context) error {
	for {
		accepted, err := s.listener.Accept()
		var failed net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &failed):
			time.Sleep(acceptPause)
			continue
		case err != nil:
			return err
		}
		s.take(accepted)
	}
}

func (s *Server) take(accepted net.Conn) {
	if tcp, ok := accepted.(*net.TCPConn); ok && s.parts.SendBuffer > 0 {
		// A system that does not allow it sends as it would anyway.
		_ = tcp.SetWriteBuffer(s.parts.SendBuffer)
	}
	c := newConnection(s.group.Context(), s, accepted)
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		accepted.Close()
		return
	}
	s.open[c] = struct{}{}
	s.mu.Unlock()
	s.group.Go(s.parts.Name+" connection", func(context.Context) error {
		defer s.forget(c)
		c.serve()
		return nil
	})
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	s.settle()
}

// settle needs the lock.
func (s *Server) settle() {
	if !s.stopping || len(s.open) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// Stop takes no more connections, lets those that are open answer what they have
// read, and cuts what is left when ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.listener.Close()
	for _, c := range s.stop() {
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

func (s *Server) stop() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	s.settle()
	open := make([]*connection, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	return open
}

// limits are those in force, defaults filled in.
func (s *Server) limits() Limits {
	var l Limits
	if s.parts.Limits != nil {
		l = s.parts.Limits()
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
