package bfexchange

import (
	"errors"
	"fmt"
	"slices"
)

// ConnectionsError reports a connection that was not opened, as all that the client may have are in use.
type ConnectionsError struct{ Limit int }

// Error includes the limit.
func (e *ConnectionsError) Error() string {
	return fmt.Sprintf("all %d connections are in use", e.Limit)
}

// IsOutOfConnections reports whether err is a *ConnectionsError: the peer may be well.
func IsOutOfConnections(err error) bool {
	var limit *ConnectionsError
	return errors.As(err, &limit)
}

// reserve counts a connection that is about to be opened. If there are too many, it closes the one that has been
// idle for the longest time; it fails with a *ConnectionsError if none is idle.
func (c *Client) reserve() error {
	limit := int64(c.options.MaxOpen)
	for c.open.Add(1) > limit && limit > 0 {
		c.open.Add(-1)
		longest := c.popLongestIdle()
		if longest == nil {
			return &ConnectionsError{Limit: c.options.MaxOpen}
		}
		longest.Close()
	}
	return nil
}

// release ends the count of a connection.
func (c *Client) release() { c.open.Add(-1) }

// Open returns the number of open connections.
func (c *Client) Open() int64 { return c.open.Load() }

// popLongestIdle takes the connection that has been idle for the longest time, nil if there is none.
func (c *Client) popLongestIdle() (longest *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.idle {
		// Connections are kept in the order in which they became idle.
		if len(kept) > 0 && (longest == nil || kept[0].idleSince.Before(longest.idleSince)) {
			longest = kept[0]
		}
	}
	if longest == nil {
		return nil
	}
	c.idle[longest.address] = slices.Delete(c.idle[longest.address], 0, 1)
	return longest
}
