package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// longBody sends long requests in chunks while servers drain and are replaced, one after the other.
func longBody(w *world) (int, error) {
	fronts := []*machine{w.add("front", "zone-a"), w.add("front", "zone-b")}
	backs := []*machine{w.add("back", "zone-a"), w.add("back", "zone-b"), w.add("back", "zone-c")}
	w.configure(3, []route{{"upload", "upload.example", "/up/", "non_idempotent", 4, 1, 1, "back", 2}}, []string{"front", "back"}, nil)
	if err := w.startNodes(); err != nil {
		return 0, err
	}
	servers := map[*machine]*server{}
	for n, m := range w.machines {
		s, err := startServer(fmt.Sprintf("i-%d-1", n+1), m, 12, 100*time.Millisecond, &w.ledger)
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
	for worker := range 16 {
		front := fronts[worker%len(fronts)]
		group.Go(func() {
			body := make([]byte, 700_000)
			for {
				rand.Read(body)
				c.send(front, "POST", "upload.example", "/up/file", body, true, 4*time.Second, nil)
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n, m := range backs {
		if w.trouble {
			old := servers[m]
			old.drain()
			time.Sleep(4 * time.Second)
			old.leave()
			old.exit()
			s, err := startServer(fmt.Sprintf("i-%d-2", n+3), m, 12, 100*time.Millisecond, &w.ledger)
			if err != nil {
				return 0, err
			}
			servers[m] = s
			background.Go(s.beat)
			time.Sleep(4 * time.Second)
		} else {
			time.Sleep(8 * time.Second)
		}
	}
	close(stop)
	group.Wait()

	attempts, answered, wrong := c.all(), map[int]int{}, 0
	for _, s := range attempts {
		answered[s.status]++
	}
	runs := w.ledger.all()
	for _, r := range runs {
		s, found := attempts[r.id]
		if found && s.sum == r.sum {
			continue
		}
		wrong++
		w.record.note("BROKEN: server %s ran %s with %d bytes (sum %s), the client sent %d bytes (sum %s) and was answered %d",
			r.server, r.id, r.bytes, r.sum, s.bytes, s.sum, s.status)
	}
	summary := fmt.Sprintf("%d requests sent, answered by status %v, %d runs, %d of them with another body than was sent", len(attempts), answered, len(runs), wrong)
	w.record.note("%s", summary)
	fmt.Println(summary)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
