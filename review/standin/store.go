package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// historyRows is how many changes the store keeps for its feed.
const historyRows = 10000

// row is one row of the store, as its protocol encodes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store: rows-tx, rows-get and rows-feed.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]row
	history []row
	changed chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), began: time.Now(), ver: 1, rows: map[rowID]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /v1/rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"parts": []string{""}, "has_more": false})
	})
	background.Go(func() { _ = http.Serve(listener, mux) })
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) now() float64 { return time.Since(s.began).Seconds() }

// put writes a row as the operator does, without a condition.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wake()
}

// set stores a row; s.mu must be held.
func (s *store) set(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
	if len(s.history) > historyRows {
		s.history = s.history[1:]
	}
}

// wake ends the waits of the feed; s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := true
	current := []row{}
	for _, e := range tx.Expected {
		held := s.rows[rowID{e.Table, e.Part, e.Key}]
		if held.Ver != e.Ver {
			fits = false
		}
		if held.Ver > 0 {
			current = append(current, held)
		}
	}
	if !fits {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_s": s.now()})
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver})
	}
	for _, p := range tx.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_s": s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for id, held := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, held)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	reply(w, http.StatusOK, map[string]any{"rows": found, "has_more": false, "ver": s.ver, "now_s": s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for over := false; ; {
		s.mu.Lock()
		changes := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				changes = append(changes, h)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(changes) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"rows": changes, "ver": ver, "now_s": s.now()})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
