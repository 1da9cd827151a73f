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

// packageOf returns the body of the answer to a request, nil for a short one.
func packageOf(path, id string, plain bool) []byte {
	if path == lookPath {
		return nil
	}
	return packageBody(id, plain)
}

// The paths of the three routes: a download, a long idempotent answer and a short one.
const (
	downloadPath = "/package/1"
	pagePath     = "/page/1"
	lookPath     = "/look/1"
)

// fetched is one request and its answer.
type fetched struct {
	id, path string
	// place is the place of the request on its connection, from 0.
	place int
	// begun is set if the head of an answer arrived, whole if all of it did.
	begun, whole bool
	status, got  int
	err          error
}

// multipart fetches packages from servers in other failure domains over kept connections, some of them with
// requests behind. Nothing is disturbed.
func multipart(w *world) (int, error) {
	front := w.add("front", "zone-a")
	w.add("front", "zone-b")
	w.add("vault", "zone-b")
	w.add("vault", "zone-c")
	w.configure(3, []route{
		{"package", "vault.example", "/package/", "download", 4, 2, 1, "vault", 2},
		{"page", "vault.example", "/page/", "idempotent", 4, 2, 1, "vault", 2},
		{"look", "vault.example", "/look/", "idempotent", 4, 2, 1, "vault", 2},
	}, []string{"front", "vault"}, nil)
	if err := w.startNodes(); err != nil {
		return 0, err
	}
	for n, m := range w.machines {
		s, err := startServer(fmt.Sprintf("i-%d-1", n+1), m, 12, 20*time.Millisecond, &w.ledger)
		if err != nil {
			return 0, err
		}
		if m.service == "vault" {
			s.body = func(path, id string) []byte { return packageOf(path, id, !w.trouble) }
		}
		background.Go(s.beat)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	var all []fetched
	var group sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for worker := range 6 {
		paths := []string{downloadPath}
		if worker%2 == 0 {
			paths = []string{pagePath, lookPath, lookPath, lookPath}
		}
		group.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.Dial("tcp", front.at(front.ports.outbound))
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for place, ok := 0, true; ok && time.Now().Before(end); place += len(paths) {
					var list []fetched
					list, ok = fetch(conn, reader, place, paths, !w.trouble)
					mu.Lock()
					all = append(all, list...)
					mu.Unlock()
					for _, f := range list {
						w.record.note("sent %s, %s, request %d of its connection; answered %d, %d bytes, whole %v, error %v", f.id, f.path, f.place+1, f.status, f.got, f.whole, f.err)
					}
					time.Sleep(50 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	return judge(w, all)
}

// judge counts the requests that a server ran and whose connection was closed in the middle of their answer, or
// without any byte of it.
func judge(w *world, all []fetched) (int, error) {
	ranAt := map[string]string{}
	for _, r := range w.ledger.all() {
		ranAt[r.id] = r.server
	}
	cut, none, whole := 0, 0, 0
	for _, f := range all {
		server := ranAt[f.id]
		switch {
		case f.whole:
			whole++
		case f.err == nil || f.place == 0 || server == "":
		case f.begun:
			cut++
			w.record.note("LOST: %s, %s, request %d of a kept connection, ran at %s; the connection was closed after %d bytes of the answer: %v", f.id, f.path, f.place+1, server, f.got, f.err)
		default:
			none++
			w.record.note("LOST: %s, %s, request %d of a kept connection, ran at %s; the connection was closed without an answer: %v", f.id, f.path, f.place+1, server, f.err)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d answered in whole; passed on to a sound server and closed: %d without any answer, %d in the middle of it", len(all), whole, none, cut)
	w.record.note("%s", summary)
	fmt.Println(summary)
	switch {
	case none > 3 || cut > 3:
		return broken, nil
	case 2*whole < len(all):
		return failed, nil
	}
	return held, nil
}

// fetch sends requests at once and reads their answers. It returns false if the connection ended.
func fetch(conn net.Conn, reader *bufio.Reader, place int, paths []string, plain bool) (list []fetched, ok bool) {
	text := ""
	for at, path := range paths {
		f := fetched{id: newID(), path: path, place: place + at}
		list = append(list, f)
		text += "GET " + path + " HTTP/1.1\r\nHost: vault.example\r\nX-Attempt-Id: " + f.id + "\r\nX-Deadline-Ms: 4000\r\n\r\n"
	}
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(conn, text)
	for at := range list {
		f := &list[at]
		if f.err = err; err != nil {
			continue
		}
		var response *http.Response
		if response, err = http.ReadResponse(reader, nil); err != nil {
			f.err = err
			continue
		}
		var body []byte
		body, err = io.ReadAll(response.Body)
		f.begun, f.status, f.got, f.err = true, response.StatusCode, len(body), err
		expected := packageOf(f.path, f.id, plain)
		f.whole = err == nil && f.status == http.StatusOK && (expected == nil || bytes.Equal(body, expected))
		if err == nil && response.Close {
			err = io.EOF
		}
	}
	return list, err == nil
}
