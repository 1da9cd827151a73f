package bfrunlog

import (
	"sync"
	"time"
)

// Log records the runs of all targets. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// runs counts the runs of each request, versionRuns those on targets of each version.
	runs        map[string]int
	versionRuns map[string]int
	// lastRun is when each incarnation last started running a request, departed when its departure
	// was acknowledged.
	lastRun, departed map[string]time.Time
	// limits holds the limits and the arrivals of each incarnation.
	limits map[string]*Limits
}

// New returns an empty log.
func New() *Log {
	return &Log{runs: map[string]int{}, versionRuns: map[string]int{}, lastRun: map[string]time.Time{}, departed: map[string]time.Time{}, limits: map[string]*Limits{}}
}

// AddIncarnation returns the limits of a new incarnation.
func (l *Log) AddIncarnation(incarnation string) *Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := &Limits{}
	l.limits[incarnation] = limits
	return limits
}

// RecordRun records the start of a run.
func (l *Log) RecordRun(id, incarnation, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.versionRuns[version]++
	l.lastRun[incarnation] = time.Now()
}

// RecordDeparture records that the departure of an incarnation was acknowledged.
func (l *Log) RecordDeparture(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departed[incarnation] = time.Now()
}

// RunCount returns the number of runs of a request.
func (l *Log) RunCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// VersionCount returns the number of runs on targets of a version.
func (l *Log) VersionCount(version string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versionRuns[version]
}

// LateRuns returns, for each incarnation that departed, how long after that it last started a run; it
// is negative if the last run came before.
func (l *Log) LateRuns() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := map[string]time.Duration{}
	for incarnation, left := range l.departed {
		late[incarnation] = l.lastRun[incarnation].Sub(left)
	}
	return late
}

// LastRun returns when an incarnation last started a run, the zero time for never.
func (l *Log) LastRun(incarnation string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastRun[incarnation]
}

// AllLimits returns the limits of each incarnation.
func (l *Log) AllLimits() map[string]*Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string]*Limits, len(l.limits))
	for incarnation, limits := range l.limits {
		all[incarnation] = limits
	}
	return all
}
