package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipelined is one request of a pipeline and its answer.
type pipelined struct {
	id, path string
	// place is the place of the request on its connection, from 0.
	place    int
	answered bool
	status   int
}

// pipeline sends the requests of several paths at once over a kept connection and reads the answers. It
// returns false if the connection ended early.
func pipeline(conn net.Conn, reader *bufio.Reader, place int, paths []string, rec *record) ([]pipelined, bool) {
	var list []pipelined
	text := ""
	for at, path := range paths {
		p := pipelined{id: newID(), path: path, place: place + at}
		list = append(list, p)
		text += "GET " + path + " HTTP/1.1\r\nHost: look.example\r\nX-Attempt-Id: " + p.id + "\r\nX-Deadline-Ms: 3000\r\n\r\n"
	}
	conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return list, false
	}
	for at := range list {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			rec.note("pipeline: %s %s gets no complete answer: %v; %d requests behind it", list[at].id, list[at].path, err, len(list)-at-1)
			return list, false
		}
		list[at].answered, list[at].status = true, response.StatusCode
		if response.Close {
			return list, false
		}
	}
	return list, true
}

// cutPipeline pipelines idempotent requests while one server breaks off some of its long answers.
func cutPipeline(w *world) (int, error) {
	front := w.add("front", "zone-a")
	w.add("front", "zone-b")
	faulty := w.add("vault", "zone-a")
	w.add("back", "zone-a")
	w.add("back", "zone-b")
	w.configure(3, []route{
		{"vault", "look.example", "/vault/", "idempotent", 3, 0.6, 1, "vault", 2},
		{"look", "look.example", "/look/", "idempotent", 3, 0.6, 1, "back", 2},
	}, []string{"front", "vault", "back"}, nil)
	if err := w.startNodes(); err != nil {
		return 0, err
	}
	sound := map[string]bool{}
	for n, m := range w.machines {
		s, err := startServer(fmt.Sprintf("i-%d-1", n+1), m, 12, 40*time.Millisecond, &w.ledger)
		if err != nil {
			return 0, err
		}
		if m.service == "vault" {
			s.answerBytes, s.cutAfter = 700_000, 500_000
			if m == faulty && w.trouble {
				s.cutShare = 0.02
			}
		}
		sound[s.id] = m != faulty
		go s.beat()
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var all []pipelined
	var group sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range 8 {
		group.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", front.at(front.ports.outbound))
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for place, ok := 0, true; ok && time.Now().Before(end); place += 4 {
					var list []pipelined
					list, ok = pipeline(conn, reader, place, []string{"/vault/1", "/look/1", "/look/2", "/look/3"}, w.record)
					mu.Lock()
					all = append(all, list...)
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)

	ranAt := map[string]string{}
	for _, r := range w.ledger.all() {
		ranAt[r.id] = r.server
	}
	lost, served := 0, 0
	for _, p := range all {
		if p.answered {
			served++
		}
		if server := ranAt[p.id]; !p.answered && p.place > 0 && server != "" && sound[server] {
			lost++
			w.record.note("LOST: %s %s, request %d of a kept connection, ran at the sound server %s; the connection was closed without an answer", p.id, p.path, p.place+1, server)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d answered, %d passed on to a sound server and cut without an answer", len(all), served, lost)
	w.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case lost > 3:
		return broken, nil
	case 2*served < len(all):
		return failed, nil
	}
	return held, nil
}
