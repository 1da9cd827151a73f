package bfnews

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfgroup"
	"bilberryflow.org/lib/bftimer"
)

// delayingProxy forwards connections to a node. While it is held it keeps what was sent to the
// node, as the sockets of a suspended node do, and delivers it on release.
type delayingProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	released chan struct{}
}

func newDelayingProxy(t *testing.T, group *bfgroup.Group, target string) *delayingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &delayingProxy{listener: listener, target: target, released: make(chan struct{})}
	close(p.released)
	t.Cleanup(func() { listener.Close() })
	group.Go("accept", func(context.Context) error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go("forward", func(context.Context) error { p.forward(group, conn); return nil })
		}
	})
	return p
}

func (p *delayingProxy) address() string { return p.listener.Addr().String() }

func (p *delayingProxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = make(chan struct{})
}

func (p *delayingProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.released)
}

// wait blocks while the proxy is held.
func (p *delayingProxy) wait() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	<-released
}

func (p *delayingProxy) forward(group *bfgroup.Group, from net.Conn) {
	defer from.Close()
	p.wait()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	group.Go("answers", func(context.Context) error {
		// The end of either side ends the other below.
		_, _ = io.Copy(from, to)
		return nil
	})
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// The node has read everything before it sees the end.
			time.Sleep(50 * time.Millisecond)
			return
		}
	}
}

// delayedFleet is a source that reads the store and a follower behind a proxy.
func delayedFleet(t *testing.T) (stopSource func(), follower *Exchange, proxy *delayingProxy) {
	t.Helper()
	timer := bftimer.New(1)
	source, rest := bfgroup.New(context.Background()), bfgroup.New(context.Background())
	rest.Go("timer", timer.Run)
	t.Cleanup(rest.Cancel)
	t.Cleanup(source.Cancel)
	sourceState, sourceAddress := start(t, source, timer, true)
	state, address, exchange := startExchange(t, rest, timer, true)
	proxy = newDelayingProxy(t, rest, address)
	roster := Roster{Revision: 9, Members: []bffleet.Member{
		{Inbound: sourceAddress, Peer: sourceAddress, Domain: "nord", LinkMbps: 3},
		{Inbound: "absent", Peer: "127.0.0.1:1", Domain: "nord", LinkMbps: 2},
		{Inbound: address, Peer: proxy.address(), Domain: "nord", LinkMbps: 1},
	}}
	sourceState.ApplyRoster(roster)
	state.ApplyRoster(roster)
	waitFor(t, "the follower receives fresh updates", func() bool { return exchange.ReceivesFresh() && !exchange.ReadsStore() })
	return source.Cancel, exchange, proxy
}

// Guards against a node that counts itself current, and does not read the store, because updates
// that were sent long ago arrive now.
func TestDelayedUpdatesDoNotCountAsFresh(t *testing.T) {
	is := is.New(t)
	stopSource, follower, proxy := delayedFleet(t)
	proxy.hold()
	time.Sleep(3 * receiveTimeout)
	stopSource()
	time.Sleep(receiveTimeout)
	is.True(follower.ReadsStore()) // nothing has arrived for long
	proxy.release()
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		is.True(!follower.ReceivesFresh())
		is.True(follower.ReadsStore())
	}
}

// Guards against taking an update for fresh that was sent before either node was suspended or
// restarted, and against rejecting one that was sent just now.
func TestAgeOfUpdates(t *testing.T) {
	const second = clockReading(1000)
	for name, test := range map[string]struct {
		now   clockReading
		echo  echo
		fresh bool
	}{
		"no answer yet":                          {now: 50 * second, echo: echo{}, fresh: false},
		"just sent":                              {now: 50 * second, echo: echo{Reading: 49 * second, Age: second - 3}, fresh: true},
		"receiver was stopped":                   {now: 50 * second, echo: echo{Reading: 33 * second, Age: 2 * second}, fresh: false},
		"receiver's clock stood still":           {now: 33*second + 200, echo: echo{Reading: 33 * second, Age: 2 * second}, fresh: false},
		"sender was stopped before sending":      {now: 50 * second, echo: echo{Reading: 33 * second, Age: 100}, fresh: false},
		"receiver was restarted":                 {now: 90000 * second, echo: echo{Reading: 49 * second, Age: 10}, fresh: false},
		"clocks run at slightly different rates": {now: 50 * second, echo: echo{Reading: 49 * second, Age: second + 40}, fresh: true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.echo.provesFresh(test.now), test.fresh)
		})
	}
}

// Guards against a member's old clock reading being used after it was restarted, against answers
// that overtake each other, and against readings that are kept for members that have left.
func TestEchoesFollowTheLatestAnswer(t *testing.T) {
	is := is.New(t)
	var e echoes
	is.Equal(e.to("a", 7), echo{})
	e.record("a", 5000, 100)
	e.record("a", 4990, 102) // overtaken by the answer above
	is.Equal(e.to("a", 130), echo{Reading: 5000, Age: 30})
	e.record("a", 40, 200) // restarted, with another clock
	is.Equal(e.to("a", 201), echo{Reading: 40, Age: 1})
	e.record("b", 1, 1)
	e.retain([]bffleet.Member{{Peer: "b"}})
	is.Equal(e.to("a", 300), echo{})
	is.Equal(e.to("b", 3), echo{Reading: 1, Age: 2})
}

// Guards against a fleet without news while a node that reads the store for it has said that it no
// longer does, but not for long enough to count as lost.
func TestStoppedReaderIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	_, _, relay := startExchange(t, group, timer, true)
	time.Sleep(receiveTimeout)
	receive := func(peer string, reader bool) {
		relay.recordReceipt(update{Peer: peer, Reader: reader, Proves: true, echo: echo{Reading: relay.clock()}})
	}
	readerLost := func() bool { return relay.timedOut(&relay.received.reader, receiveTimeout) }
	receive("a", true)
	receive("b", true)
	receive("c", false) // never was a reader
	is.True(!readerLost())
	receive("a", false)
	is.True(!readerLost()) // b still reads
	receive("b", false)
	is.True(readerLost())
	receive("a", true)
	is.True(!readerLost())
}

// Guards against a fleet of which all nodes read the store while it is upgraded, since the relays of the
// earlier release don't return clock readings.
func TestUpdatesOfAnEarlierReleaseCount(t *testing.T) {
	is := is.New(t)
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	_, _, node := startExchange(t, group, bftimer.New(1), true)
	node.recordReceipt(update{Peer: "a", Fresh: true, Proves: true})
	is.True(!node.ReceivesFresh()) // a first update, without a reading yet
	node.recordReceipt(update{Peer: "b", Fresh: true})
	is.True(node.ReceivesFresh())
}

// Guards against followers that read the store although another one has begun to update them: its first
// update proves nothing yet, and the next one would come after their timeout.
func TestFirstUpdateIsProvedAtOnce(t *testing.T) {
	group := bfgroup.New(context.Background())
	defer group.Cancel()
	timer := bftimer.New(1)
	group.Go("timer", timer.Run)
	_, senderAddress, sender := startExchange(t, group, timer, true)
	_, address, receiver := startExchange(t, group, timer, true)
	began := time.Now()
	sender.pushTo(update{Peer: senderAddress, Fresh: true, Proves: true}, address)
	waitFor(t, "the receiver counts an update", receiver.ReceivesFresh)
	if took := time.Since(began); took >= pushInterval {
		t.Fatalf("the update counted after %v", took)
	}
}
