package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of reborn. clockStep is the usual amount of clock_step, drainTime the site's drain_s.
const (
	clockStep   = 2000 * time.Millisecond
	rebornAfter = 1500 * time.Millisecond
	downTime    = 500 * time.Millisecond
	drainTime   = 2 * time.Second
	serveLonger = 3 * time.Second
	runTime     = 150 * time.Millisecond
	// otherServers are those of the service that stay: one of seven crashes (srv_crash: share 0.15).
	otherServers  = 6
	rebornClients = 8
)

// reborn has a server crash and start again under the id that it had, after the time of day of its machine
// has jumped back, so that its second start has the earlier time. Seconds later it drains.
func reborn(d *deployment, trouble bool) (bool, error) {
	front, err := d.addNode("front-1", "a", "front", nil)
	if err != nil {
		return false, err
	}
	deskNode, err := d.addNode("desk-1", "a", "desk", nil)
	if err != nil {
		return false, err
	}
	var others []*server
	for i := range otherServers {
		n, err := d.addNode(fmt.Sprintf("desk-%d", i+2), string(rune('b'+i%3)), "desk", nil)
		if err != nil {
			return false, err
		}
		others = append(others, d.newServer(n, fmt.Sprintf("i-desk-%d", i+2), 8))
	}
	routes := []route{
		{Name: "check", Host: "desk.example", Prefix: "/check/", RouteType: idempotent, Timeout: 2, TargetLatency: 0.5, Priority: 1, Service: "desk", MaxAttempts: 2},
		{Name: "nominate", Host: "desk.example", Prefix: "/nominate/", RouteType: nonIdempotent, Timeout: 2, TargetLatency: 0.5, Priority: 1, Service: "desk", MaxAttempts: 2},
	}
	if err := d.configure(7, routes, "front", "desk"); err != nil {
		return false, err
	}
	for _, s := range append(others, d.newServer(front, "i-front", 8)) {
		s.born = time.Now().UnixMilli()
		if err := s.begin(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	var arrivals sync.Map // request ID to the moment at which the first server got it
	work := func(s *server) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, r *http.Request, _ []byte) bool {
			arrivals.Store(r.Header.Get("X-Attempt-Id"), time.Now())
			s.run(r)
			time.Sleep(runTime)
			return s.answer(c, r, http.StatusOK, "done") == nil
		}
	}
	first := d.newServer(deskNode, "i-desk", 8)
	first.handle = work(first)
	began := time.Now()
	first.born = began.UnixMilli()
	if trouble {
		first.born = began.Add(clockStep).UnixMilli()
		d.rec.say("the time of day of desk-1 is %v ahead", clockStep)
	}
	if err := first.begin(); err != nil {
		return false, err
	}
	d.rec.say("server i-desk starts, born %d", first.born)
	if err := d.awaitServed(front, "desk.example", "/check/1", 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(rebornAfter - downTime)))
	first.end()
	d.rec.say("server i-desk crashes")
	time.Sleep(time.Until(began.Add(rebornAfter)))
	second := d.newServer(deskNode, "i-desk", 8)
	second.handle = work(second)
	second.born = time.Now().UnixMilli()
	if err := second.begin(); err != nil {
		return false, err
	}
	d.rec.say("server i-desk starts again, born %d", second.born)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered := map[string]answer{}
	traffic := func(client int) {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
			id := fmt.Sprintf("c%d-%04d", client, i)
			a := send(d.rec, front.caller, http.MethodPost, "desk.example", "/nominate/1", id, 2*time.Second, "", "order")
			mu.Lock()
			if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
				unanswered[id] = a
			}
			mu.Unlock()
		}
	}
	for client := range rebornClients {
		clients.Go(func() { traffic(client) })
	}
	time.Sleep(8 * time.Second)
	before := len(second.ran)
	d.rec.say("server i-desk has run %d requests since its second start", before)
	if !second.drain(4 * time.Second) {
		close(stop)
		clients.Wait()
		d.rec.say("the node did not acknowledge that the server drains")
		return false, nil
	}
	acknowledged := time.Now()
	d.rec.say("the node acknowledges that i-desk drains")
	time.Sleep(drainTime)
	second.mu.Lock()
	second.ran = map[string]int{}
	second.mu.Unlock()
	time.Sleep(serveLonger - drainTime)
	second.leave()
	time.Sleep(200 * time.Millisecond)
	second.end()
	d.rec.say("server i-desk exits")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	second.mu.Lock()
	defer second.mu.Unlock()
	lost := 0
	for id, a := range unanswered {
		if at, ran := arrivals.Load(id); ran && at.(time.Time).After(acknowledged.Add(drainTime)) {
			d.rec.line("lost: %s reached a server %v after the ack, and its client got: %s", id, at.(time.Time).Sub(acknowledged), a)
			lost++
		}
	}
	d.rec.say("%d requests reached i-desk later than %v after the ack; %d of those sent so late were run and not answered", len(second.ran), drainTime, lost)
	return len(second.ran) > 0, nil
}
