package bfcaller_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is the network before one port: it can cut connections and lose track
// of them, while new ones work.
type relay struct {
	listener net.Listener
	backend  atomic.Value // string
	// vanished swallows everything, over new connections too.
	vanished atomic.Bool
	mu       sync.Mutex
	links    []*link
	copying  sync.WaitGroup
}

// link is one connection through a relay.
type link struct {
	near, far net.Conn
	// deafNear and deafFar swallow what that end sends.
	deafNear, deafFar atomic.Bool
	// cutAnswers, if not 0, makes the far end deaf after so many bytes.
	cutAnswers atomic.Int64
}

func newRelay(t testing.TB, backend string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener}
	r.backend.Store(backend)
	r.copying.Add(1)
	go r.accept()
	t.Cleanup(func() {
		listener.Close()
		r.cut()
		r.copying.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	defer r.copying.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.backend.Load().(string))
		if err != nil {
			near.Close()
			continue
		}
		l := &link{near: near, far: far}
		l.deafNear.Store(r.vanished.Load())
		r.mu.Lock()
		r.links = append(r.links, l)
		r.mu.Unlock()
		r.copying.Add(2)
		go l.copy(far, near, &l.deafNear, &r.copying)
		go l.copy(near, far, &l.deafFar, &r.copying)
	}
}

func (l *link) copy(to, from net.Conn, deaf *atomic.Bool, done *sync.WaitGroup) {
	defer done.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if deaf.Load() {
			if err != nil {
				return // the other end never hears of it
			}
			continue
		}
		if left := l.cutAnswers.Load(); left > 0 && from == l.far {
			n = int(min(int64(n), left))
			deaf.Store(true)
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			to.Close()
			return
		}
	}
}

func (r *relay) each(change func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		change(l)
	}
}

func (r *relay) opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// freeze has every connection that is open now go silent for good.
func (r *relay) freeze() {
	r.each(func(l *link) { l.deafNear.Store(true); l.deafFar.Store(true) })
}

// vanish is the end of the machine behind the relay: nothing answers any more, not even the network.
func (r *relay) vanish() {
	r.vanished.Store(true)
	r.freeze()
}

// dropAnswers loses what the far end sends over the connections open now.
func (r *relay) dropAnswers() { r.each(func(l *link) { l.deafFar.Store(true) }) }

// cut breaks every connection.
func (r *relay) cut() {
	r.each(func(l *link) { l.near.Close(); l.far.Close() })
}
