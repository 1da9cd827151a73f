package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of a small deployment, as the pages give them for the first sites.
const (
	drainBound  = 2 * time.Second // drain_s
	stableBound = 3 * time.Second // stable_s
)

// lateBeat lets a server leave, restarts the node beside it, and delivers a heartbeat that the server had
// sent before it left.
func lateBeat(w *world) (int, error) {
	front := w.add("front", "zone-a")
	w.add("front", "zone-b")
	back := w.add("back", "zone-a")
	w.add("back", "zone-b")
	w.add("back", "zone-c")
	w.configure(3, []route{{"look", "look.example", "/look/", "idempotent", 3, 0.5, 1, "back", 2}}, []string{"front", "back"}, nil)
	if err := w.startNodes(); err != nil {
		return 0, err
	}
	servers := map[*machine]*server{}
	for n, m := range w.machines {
		s, err := startServer(fmt.Sprintf("i-%d-1", n+1), m, 9, 60*time.Millisecond, &w.ledger)
		if err != nil {
			return 0, err
		}
		servers[m] = s
		background.Go(s.beat)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	c := newClient(w.record)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for range 6 {
		group.Go(func() {
			for {
				c.send(front, "GET", "look.example", "/look/1", nil, false, 2*time.Second, nil)
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)

	leaving := servers[back]
	held := leaving.report() // sent now, delivered late
	acked := leaving.leave()
	restarted := acked
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		back.kill()
		time.Sleep(500 * time.Millisecond)
		if err := back.restart(); err != nil {
			return 0, err
		}
		restarted = time.Now()
	}
	time.Sleep(time.Until(acked.Add(3 * time.Second)))
	ok := leaving.tell(http.MethodPut, held)
	w.record.note("the heartbeat that server %s sent before it left arrives 3 s late (acknowledged: %v)", leaving.id, ok)
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	leaving.exit()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	attempts, late := c.all(), 0
	bound := acked.Add(drainBound)
	if inTouch := restarted.Add(stableBound); w.trouble && inTouch.After(bound) {
		bound = inTouch
	}
	for _, r := range w.ledger.all() {
		s, found := attempts[r.id]
		if found && r.server == leaving.id && s.at.After(bound) && r.at.After(bound) {
			late++
			w.record.note("BROKEN: %s was sent %.1f s and ran %.1f s after the ack that server %s leaves; its node had been back for %.1f s",
				r.id, s.at.Sub(acked).Seconds(), r.at.Sub(acked).Seconds(), r.server, s.at.Sub(restarted).Seconds())
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d reached the server that had left later than the bound", len(attempts), late)
	w.record.note("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return broken, nil
	}
	return held0(attempts), nil
}

// held0 is the code of a case without a broken rule; the clients must have been served.
func held0(attempts map[string]sent) int {
	served := 0
	for _, s := range attempts {
		if s.status == http.StatusOK {
			served++
		}
	}
	if 2*served < len(attempts) {
		return failed
	}
	return held
}
