package bfpeer

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// maxUnsent bounds the messages in bytes that wait to be written to all peers,
	// maxUnsentPerPeer those to one peer.
	maxUnsent        = 16 << 20
	maxUnsentPerPeer = 1 << 20
	// smallMessage is the size in bytes up to which a message may use all of these bounds; larger
	// ones leave a quarter free, so that bulk data does not hold up updates and questions.
	smallMessage = 16 << 10
	// maxServing bounds the parameters in bytes of the calls that are being served, and
	// maxServingPerConn the number of calls of one connection.
	maxServing        = 32 << 20
	maxServingPerConn = 64
)

// UnsentError reports a message that was not sent because too many bytes already wait for slow
// peers.
type UnsentError struct {
	// Bytes is the size of the message, Waiting that of the messages that wait for its peer, and
	// Total that of the messages that wait for any.
	Bytes, Waiting, Total int
}

// Error includes the sizes.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("message of %d bytes not sent: %d bytes wait for the peer, %d for all peers", e.Bytes, e.Waiting, e.Total)
}

// unsent counts the bytes that wait to be written. A peer is an address for calls, also if several
// connections lead there, and an accepted connection for answers.
type unsent struct {
	mu      sync.Mutex
	total   int
	waiting map[any]int
}

// reserve counts a message, or returns an UnsentError if it exceeds a bound. A message of any size
// is accepted if nothing else waits: maxMessage bounds it.
func (u *unsent) reserve(peer any, size int) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	waiting := u.waiting[peer]
	if exceeds(waiting, size, maxUnsentPerPeer) || exceeds(u.total, size, maxUnsent) {
		return &UnsentError{Bytes: size, Waiting: waiting, Total: u.total}
	}
	if u.waiting == nil {
		u.waiting = map[any]int{}
	}
	u.waiting[peer] += size
	u.total += size
	return nil
}

// exceeds reports whether a message can't be added to those that wait within a limit.
func exceeds(waiting, size, limit int) bool {
	if size > smallMessage {
		limit -= limit / 4
	}
	return waiting > 0 && waiting+size > limit
}

// release ends the count of a message.
func (u *unsent) release(peer any, size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total -= size
	if u.waiting[peer] -= size; u.waiting[peer] == 0 {
		delete(u.waiting, peer)
	}
}

// reserve counts a message to a peer as unsent until c.unsent.release.
func (c *Calls) reserve(peer any, size int) error {
	err := c.unsent.reserve(peer, size)
	if err != nil {
		c.traffic.rejected.Add(1)
	}
	return err
}

// Unsent returns the size in bytes of the messages that wait to be written.
func (c *Calls) Unsent() int {
	c.unsent.mu.Lock()
	defer c.unsent.mu.Unlock()
	return c.unsent.total
}

// serving bounds the calls of one connection that are being served. While a bound is reached, no
// further message of the connection is read, which slows its sender down.
type serving struct {
	all  *semaphore.Weighted
	conn chan struct{}
}

func newServing(all *semaphore.Weighted) *serving {
	return &serving{all: all, conn: make(chan struct{}, maxServingPerConn)}
}

// acquire waits until a call with parameters of a size may be served, or ctx ends.
func (s *serving) acquire(ctx context.Context, size int) error {
	select {
	case s.conn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := s.all.Acquire(ctx, weight(size)); err != nil {
		<-s.conn
		return err
	}
	return nil
}

// release ends the serving of a call.
func (s *serving) release(size int) {
	s.all.Release(weight(size))
	<-s.conn
}

// weight returns the share of maxServing that parameters take.
func weight(size int) int64 { return int64(min(size, maxServing)) }
