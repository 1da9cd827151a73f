package bfguard

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bilberryflow.org/lib/bfannounce"
	"bilberryflow.org/lib/bfroster"
)

// silentAfter is the time without a heartbeat after which a target gets no new requests.
const silentAfter = 3 * bfannounce.Heartbeat

// AnnouncementError reports an announcement that the node rejects.
type AnnouncementError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and the allowed values.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement field %s: value %q: allowed: %s", e.Field, e.Value, e.Allowed)
}

// Status is the state of the target at one moment.
type Status struct {
	State   bfroster.TargetState
	Address string
	Slots   int
	// Incarnation identifies the target process.
	Incarnation int64
	// ColdSince is the time of the process's first announcement.
	ColdSince time.Time
}

// AcceptsRequests reports whether the target accepts new requests.
func (s Status) AcceptsRequests() bool {
	return s.State == bfroster.TargetReady || s.State == bfroster.TargetCold
}

// announcedTarget holds the state that the local target announced.
type announcedTarget struct {
	mu             sync.Mutex
	service        string
	coldStart      func() time.Duration
	latest         bfannounce.Announcement
	lastHeartbeat  time.Time
	firstHeartbeat time.Time
	leaving        bool
}

const maxSlots = 100_000

// announce validates and applies an announcement.
func (t *announcedTarget) announce(now time.Time, a bfannounce.Announcement) error {
	switch {
	case a.Service != t.service:
		return &AnnouncementError{"service", a.Service, t.service + ", as in the node's settings"}
	case !isAddress(a.Address):
		return &AnnouncementError{"address", a.Address, "host:port"}
	case a.Incarnation < 1:
		return &AnnouncementError{"incarnation", fmt.Sprint(a.Incarnation), "the time of the target's start"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &AnnouncementError{"slots", fmt.Sprint(a.Slots), fmt.Sprintf("1 to %d", maxSlots)}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// A delayed heartbeat of an old process arrives within silentAfter. A lower
	// incarnation after that is a process started after the clock was set back.
	if a.Incarnation < t.latest.Incarnation && now.Sub(t.lastHeartbeat) <= silentAfter {
		return &AnnouncementError{"incarnation", fmt.Sprint(a.Incarnation), "that of the newest target"}
	}
	if a.Incarnation != t.latest.Incarnation {
		t.firstHeartbeat, t.leaving = now, false
	}
	t.leaving = t.leaving || a.Leaving
	t.latest, t.lastHeartbeat = a, now
	return nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// drain marks the current process as leaving, as if it had announced that.
func (t *announcedTarget) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// status returns the target's status at now.
func (t *announcedTarget) status(now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Address: t.latest.Address, Slots: t.latest.Slots, Incarnation: t.latest.Incarnation, ColdSince: t.firstHeartbeat}
	switch {
	case t.lastHeartbeat.IsZero():
		s.State = bfroster.TargetNone
	case t.leaving:
		s.State = bfroster.TargetLeaving
	case now.Sub(t.lastHeartbeat) > silentAfter:
		s.State = bfroster.TargetSilent
	case now.Sub(t.firstHeartbeat) < t.coldStart():
		s.State = bfroster.TargetCold
	default:
		s.State = bfroster.TargetReady
	}
	return s
}

// ServeAnnouncements serves the target port, which receives the target's announcements.
func (g *Guard) ServeAnnouncements(w http.ResponseWriter, r *http.Request) {
	var announcement bfannounce.Announcement
	const maxBytes = 4 << 10
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, "not an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.announced.announce(g.config.Timer.Now(), announcement); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	g.Observe(g.config.Timer.Now())
	w.Header().Set("Content-Type", "application/json")
	// A lost response is made up for by the next heartbeat.
	_ = json.NewEncoder(w).Encode(bfannounce.Answer{InFlight: g.InFlight()})
}
