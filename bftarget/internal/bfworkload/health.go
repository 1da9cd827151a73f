package bfworkload

import (
	"encoding/json"
	"net/http"
	"time"
)

// Report is what the health and load endpoints answer.
type Report struct {
	Status Health `json:"status"`
	InUse  int    `json:"inUse"`
	Slots  int    `json:"slots"`
}

type observation struct {
	at     time.Time
	report Report
}

// observationAge bounds how far back the endpoints can lag.
const observationAge = time.Minute

// Observe notes the target's true state, for endpoints that lag.
func (t *Target) Observe(now time.Time) {
	report := t.truth()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = append(t.history, observation{now, report})
	for len(t.history) > 0 && now.Sub(t.history[0].at) > observationAge {
		t.history = t.history[1:]
	}
}

func (t *Target) truth() Report {
	report := Report{Status: HealthHealthy, InUse: t.InUse(), Slots: cap(t.slots)}
	if t.Behaviour().Shed || t.leaving.Load() {
		report.Status = HealthUnhealthy
	}
	return report
}

func (t *Target) shown(now time.Time) Report {
	behaviour := t.Behaviour()
	report := t.truth()
	if lag := time.Duration(behaviour.HealthLag) * time.Millisecond; lag > 0 {
		report = t.seen(now.Add(-lag), report)
	}
	if behaviour.SayHealth != HealthTrue {
		report.Status = behaviour.SayHealth
	}
	return report
}

// seen gives the newest observation up to at, or otherwise where there is none.
func (t *Target) seen(at time.Time, otherwise Report) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(at) {
			return t.history[i].report
		}
	}
	return otherwise
}

// ServeHealth answers the health and the load endpoint.
func (t *Target) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	report := t.shown(time.Now())
	w.Header().Set("Content-Type", "application/json")
	if report.Status != HealthHealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// The reader that went away has its own error for it.
	_ = json.NewEncoder(w).Encode(report)
}
