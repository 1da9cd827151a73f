package bfresource

import (
	"net"
	"sync"
	"syscall"
)

// counted is a connection that tells when it is closed.
type counted struct {
	net.Conn
	once   sync.Once
	closed func()
}

// NewCounted returns a connection that calls closed once, when it is closed.
func NewCounted(c net.Conn, closed func()) net.Conn { return &counted{Conn: c, closed: closed} }

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

// SyscallConn returns that of the underlying connection, or EINVAL if it has none.
func (c *counted) SyscallConn() (syscall.RawConn, error) {
	underlying, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return underlying.SyscallConn()
}
