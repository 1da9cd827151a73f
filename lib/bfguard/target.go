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

// silentAfter is how long a target may be quiet before it gets no new work: three heartbeats.
const silentAfter = 3 * bfannounce.Heartbeat

// AnnouncementError reports an announcement that the node does not take.
type AnnouncementError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and what is allowed.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement field %s: value %q: allowed: %s", e.Field, e.Value, e.Allowed)
}

// Status is what is known of the target at one moment.
type Status struct {
	State   bfroster.TargetState
	Address string
	Slots   int
	// Incarnation changes when another target process announces itself.
	Incarnation int64
	// ColdSince is when the target announced itself first.
	ColdSince time.Time
}

// Takes reports whether the target takes new work.
func (s Status) Takes() bool {
	return s.State == bfroster.TargetReady || s.State == bfroster.TargetCold
}

// local holds what the target beside the node says of itself.
type local struct {
	mu        sync.Mutex
	service   string
	coldStart func() time.Duration
	last      bfannounce.Announcement
	heard     time.Time
	first     time.Time
	left      bool
}

const maxSlots = 100_000

// announce takes an announcement.
func (l *local) announce(now time.Time, a bfannounce.Announcement) error {
	switch {
	case a.Service != l.service:
		return &AnnouncementError{"service", a.Service, l.service + ", as in the node's settings"}
	case !isAddress(a.Address):
		return &AnnouncementError{"address", a.Address, "host:port"}
	case a.Incarnation < 1:
		return &AnnouncementError{"incarnation", fmt.Sprint(a.Incarnation), "the time of the target's start"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &AnnouncementError{"slots", fmt.Sprint(a.Slots), fmt.Sprintf("1 to %d", maxSlots)}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// A heartbeat that was overtaken comes soon after those of the new target. A
	// lower one later is a target that started after the clock was set back.
	if a.Incarnation < l.last.Incarnation && now.Sub(l.heard) <= silentAfter {
		return &AnnouncementError{"incarnation", fmt.Sprint(a.Incarnation), "that of the newest target"}
	}
	if a.Incarnation != l.last.Incarnation {
		l.first, l.left = now, false
	}
	l.left = l.left || a.Leaving
	l.last, l.heard = a, now
	return nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// drain has the present target take no new work, as if it had said so itself.
func (l *local) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = true
}

// status is what is known of the target now.
func (l *local) status(now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Address: l.last.Address, Slots: l.last.Slots, Incarnation: l.last.Incarnation, ColdSince: l.first}
	switch {
	case l.heard.IsZero():
		s.State = bfroster.TargetNone
	case l.left:
		s.State = bfroster.TargetLeaving
	case now.Sub(l.heard) > silentAfter:
		s.State = bfroster.TargetSilent
	case now.Sub(l.first) < l.coldStart():
		s.State = bfroster.TargetCold
	default:
		s.State = bfroster.TargetReady
	}
	return s
}

// ServeAnnouncements is the target port: it takes the target's announcements.
func (g *Guard) ServeAnnouncements(w http.ResponseWriter, r *http.Request) {
	var announcement bfannounce.Announcement
	const longest = 4 << 10
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, longest))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		http.Error(w, "not an announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.target.announce(g.parts.Timer.Now(), announcement); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	g.Observe(g.parts.Timer.Now())
	w.Header().Set("Content-Type", "application/json")
	// The target asks again at its next heartbeat.
	_ = json.NewEncoder(w).Encode(bfannounce.Answer{InFlight: g.InFlight()})
}
