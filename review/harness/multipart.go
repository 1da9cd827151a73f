package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// packageBody returns a package of pictures as a multipart body, which is a function of the request's ID. If
// plain is set, the bytes between the pictures are of the same length and contain no blank line.
func packageBody(id string, plain bool) []byte {
	sum := sha256.Sum256([]byte(id))
	random := rand.New(rand.NewSource(int64(binary.LittleEndian.Uint64(sum[:8]))))
	var out bytes.Buffer
	for out.Len() < 1_000_000 {
		head := "\r\n--part\r\nContent-Type: image/jpeg\r\n\r\n"
		if plain {
			head = "\r\n--part\r\nContent-Type: image/jpeg----"
		}
		out.WriteString(head)
		picture := make([]byte, 1500+random.Intn(6000))
		random.Read(picture) // compressed pictures look random
		out.Write(picture)
	}
	return out.Bytes()
}

// download is one request and its answer.
type download struct {
	id     string
	place  int
	status int
	got    int
	whole  bool
	err    error
}

// multipart downloads packages from servers in other failure domains over kept connections. Nothing is
// disturbed.
func multipart(w *world) (int, error) {
	front := w.add("front", "zone-a")
	w.add("front", "zone-b")
	w.add("vault", "zone-b")
	w.add("vault", "zone-c")
	w.configure(3, []route{{"package", "vault.example", "/package/", "download", 4, 2, 1, "vault", 2}}, []string{"front", "vault"}, nil)
	if err := w.startNodes(); err != nil {
		return 0, err
	}
	for n, m := range w.machines {
		s, err := startServer(fmt.Sprintf("i-%d-1", n+1), m, 12, 20*time.Millisecond, &w.ledger)
		if err != nil {
			return 0, err
		}
		if m.service == "vault" {
			s.body = func(id string) []byte { return packageBody(id, !w.trouble) }
		}
		background.Go(s.beat)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var all []download
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for range 4 {
		group.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", front.at(front.ports.outbound))
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for place, ok := 0, true; ok && time.Now().Before(end); place++ {
					var d download
					d, ok = getPackage(conn, reader, !w.trouble)
					d.place = place
					w.record.note("sent %s, request %d of its connection; answered %d, %d bytes, whole %v, error %v", d.id, place+1, d.status, d.got, d.whole, d.err)
					mu.Lock()
					all = append(all, d)
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	group.Wait()

	ranAt := map[string]string{}
	for _, r := range w.ledger.all() {
		ranAt[r.id] = r.server
	}
	lost, whole := 0, 0
	for _, d := range all {
		if d.whole {
			whole++
		}
		if server := ranAt[d.id]; d.err != nil && d.place > 0 && server != "" {
			lost++
			w.record.note("LOST: %s, request %d of a kept connection, ran at %s; the connection was closed after %d bytes of the answer: %v", d.id, d.place+1, server, d.got, d.err)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d answered in whole, %d passed on to a sound server and cut", len(all), whole, lost)
	w.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case lost > 3:
		return broken, nil
	case 2*whole < len(all):
		return failed, nil
	}
	return held, nil
}

// getPackage sends one request and reads its answer. It returns false if the connection ended.
func getPackage(conn net.Conn, reader *bufio.Reader, plain bool) (download, bool) {
	d := download{id: newID()}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, d.err = fmt.Fprintf(conn, "GET /package/1 HTTP/1.1\r\nHost: vault.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", d.id)
	if d.err != nil {
		return d, false
	}
	var response *http.Response
	if response, d.err = http.ReadResponse(reader, nil); d.err != nil {
		return d, false
	}
	var body []byte
	body, d.err = io.ReadAll(response.Body)
	d.status, d.got = response.StatusCode, len(body)
	d.whole = d.err == nil && d.status == http.StatusOK && bytes.Equal(body, packageBody(d.id, plain))
	return d, d.err == nil && !response.Close
}
