package bfresource

import "net"

// listener accepts the connections that its port has room for, and closes the others.
type listener struct {
	net.Listener
	port *Port
}

// NewListener returns a listener whose connections belong to a port, nil for a listener without bounds. Its
// connections are of type *Accepted.
func NewListener(from net.Listener, port *Port) net.Listener {
	if port == nil {
		return from
	}
	return listener{from, port}
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		held, err := l.port.Accept(c)
		if err == nil {
			return &Accepted{Conn: c, held: held}, nil
		}
		c.Close()
	}
}

// Accepted is a connection that its port has room for.
type Accepted struct {
	net.Conn
	held *Conn
}

// Held returns what the process holds for the connection.
func (c *Accepted) Held() *Conn { return c.held }

// Close closes the connection.
func (c *Accepted) Close() error {
	c.held.Close()
	return c.Conn.Close()
}
