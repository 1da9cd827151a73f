package bfroutestat

import (
	"sync"
	"time"
)

// LongAnswers records which routes have answers that are passed on before they are known to be whole. The zero value
// is empty; it is safe for concurrent use.
type LongAnswers struct {
	mu     sync.RWMutex
	lastAt map[string]time.Time
}

// longAnswerMemory is how long a route counts as one with long answers after the last one.
const longAnswerMemory = time.Minute

// Note records an answer of a route.
func (l *LongAnswers) Note(route string, long bool, now time.Time) {
	if !long {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastAt == nil || len(l.lastAt) >= maxRouteMeans {
		l.lastAt = map[string]time.Time{}
	}
	l.lastAt[route] = now
}

// Has reports whether the route has had a long answer recently.
func (l *LongAnswers) Has(route string, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	at, known := l.lastAt[route]
	return known && now.Sub(at) <= longAnswerMemory
}
