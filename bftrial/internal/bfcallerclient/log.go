package bfcallerclient

import (
	"fmt"
	"slices"
	"sync"
)

// Log collects the results of requests. The zero value is empty; it is safe for concurrent use.
type Log[T any] struct {
	mu  sync.Mutex
	all []T
}

// Add appends a result.
func (l *Log[T]) Add(result T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, result)
}

// All returns the results so far.
func (l *Log[T]) All() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.all)
}

// NotServingError reports a node that doesn't serve a route.
type NotServingError struct {
	Node, Route string
	// Outcome is that of the last request.
	Outcome Outcome
}

// Error names the node, the route and the outcome.
func (e *NotServingError) Error() string {
	return fmt.Sprintf("node %s does not serve %s: status %d, %v", e.Node, e.Route, e.Outcome.Status, e.Outcome.Err)
}
