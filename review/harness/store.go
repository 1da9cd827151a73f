package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store: one counter, linearizable, and it
// loses nothing that it has acknowledged.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[string]row // by table and key; part is always empty
	history []row
	changed chan struct{}
	began   time.Time
	address string
}

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now(), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	background.Go(func() { http.Serve(listener, mux) })
	return s, nil
}

// put writes a row of the operator and returns once it is acknowledged.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
}

func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, r.Table+"\x00"+r.Key)
	} else {
		s.rows[r.Table+"\x00"+r.Key] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_s"] = time.Since(s.began).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(fields)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for _, held := range s.rows {
		if held.Table == q.Get("table") && q.Get("part") == "" && held.Key >= q.Get("from") && (q.Get("to") == "" || held.Key < q.Get("to")) {
			found = append(found, held)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []row{}
		for _, held := range s.history {
			if held.Table == q.Get("table") && held.Ver > after {
				found = append(found, held)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": found, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"rows": found, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.reply(w, http.StatusOK, map[string]any{"parts": []string{""}, "has_more": false})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	for _, change := range append(append([]row{}, t.Puts...), t.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			http.Error(w, "not the system's table", http.StatusForbidden)
			return
		}
	}
	time.Sleep(8 * time.Millisecond) // tx_s
	s.mu.Lock()
	conflict, current := false, []row{}
	for _, e := range t.Expected {
		held := s.rows[e.Table+"\x00"+e.Key]
		if held.Ver != e.Ver {
			conflict = true
		}
		if held.Ver > 0 {
			current = append(current, held)
		}
	}
	if conflict {
		ver := s.ver
		s.mu.Unlock()
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": ver})
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, p := range t.Remove {
		if _, held := s.rows[p.Table+"\x00"+p.Key]; held {
			s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
		}
	}
	ver := s.ver
	s.notify()
	s.mu.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"ver": ver})
}

// has reports whether a table holds a row whose key begins so.
func (s *store) has(table, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.rows {
		if held.Table == table && strings.HasPrefix(held.Key, prefix) {
			return true
		}
	}
	return false
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, held := range s.rows {
		if held.Table == table {
			n++
		}
	}
	return n
}
