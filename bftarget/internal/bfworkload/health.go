package bfworkload

import (
	"encoding/json"
	"net/http"
	"time"
)

// Report is the response of the health and load endpoints.
type Report struct {
	Status Health `json:"status"`
	InUse  int    `json:"inUse"`
	Slots  int    `json:"slots"`
}

type observation struct {
	at     time.Time
	report Report
}

// maxObservationAge bounds how old the endpoints' answers can be.
const maxObservationAge = time.Minute

// Observe records the target's actual state, for endpoints that answer with an older
// one.
func (t *Target) Observe(now time.Time) {
	report := t.actualReport()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history = append(t.history, observation{now, report})
	for len(t.history) > 0 && now.Sub(t.history[0].at) > maxObservationAge {
		t.history = t.history[1:]
	}
}

func (t *Target) actualReport() Report {
	report := Report{Status: HealthHealthy, InUse: t.InUse(), Slots: cap(t.slots)}
	if t.Behaviour().Shed || t.leaving.Load() {
		report.Status = HealthUnhealthy
	}
	return report
}

func (t *Target) servedReport(now time.Time) Report {
	behaviour := t.Behaviour()
	report := t.actualReport()
	if lag := time.Duration(behaviour.HealthLag) * time.Millisecond; lag > 0 {
		report = t.reportAt(now.Add(-lag), report)
	}
	if behaviour.SayHealth != HealthTrue {
		report.Status = behaviour.SayHealth
	}
	return report
}

// reportAt returns the newest observation up to a time, or fallback if there is none.
func (t *Target) reportAt(at time.Time, fallback Report) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.history) - 1; i >= 0; i-- {
		if !t.history[i].at.After(at) {
			return t.history[i].report
		}
	}
	return fallback
}

// ServeHealth serves the health and the load endpoint.
func (t *Target) ServeHealth(w http.ResponseWriter, _ *http.Request) {
	report := t.servedReport(time.Now())
	w.Header().Set("Content-Type", "application/json")
	if report.Status != HealthHealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A write error means that the reader closed the connection.
	_ = json.NewEncoder(w).Encode(report)
}
