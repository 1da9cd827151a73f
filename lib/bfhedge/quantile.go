package bfhedge

import (
	"sync"
	"time"
)

const (
	// slowShare is the share of requests that count as slow: a copy is considered for these.
	slowShare = 0.05
	// stepShare is by which part of the estimate a sample moves it at most. It follows a change of
	// load within some dozen samples.
	stepShare = 0.1
	// minSamples is the number of samples before the estimate is used.
	minSamples = 30
	// maxClasses bounds the estimates: routes come and go with the configuration.
	maxClasses = 1 << 12
)

// Latencies estimates, for each class of requests, the latency that all but slowShare of them stay
// below, at a target of average speed. The zero value is empty. It is safe for concurrent use.
type Latencies struct {
	mu      sync.Mutex
	byClass map[string]*estimate
}

type estimate struct {
	value   float64
	samples int
}

// Observe records the latency of an answered request at a target whose run time is relative times
// that of an average one.
func (l *Latencies) Observe(class string, latency time.Duration, relative float64) {
	sample := float64(latency) / atLeast(relative)
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.byClass[class]
	if held == nil {
		if len(l.byClass) >= maxClasses || l.byClass == nil {
			l.byClass = map[string]*estimate{}
		}
		held = &estimate{value: sample}
		l.byClass[class] = held
	}
	held.samples++
	// In balance, slowShare of the samples move the estimate up and all others down by as much.
	if sample > held.value {
		held.value += stepShare * (1 - slowShare) * held.value
	} else {
		held.value -= stepShare * slowShare * held.value
	}
}

// Delay returns after which time without an answer a request counts as slow at a target whose run
// time is relative times that of an average one; ok is false if too little is known.
func (l *Latencies) Delay(class string, relative float64) (delay time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.byClass[class]
	if held == nil || held.samples < minSamples {
		return 0, false
	}
	return time.Duration(held.value * atLeast(relative)), true
}

// minRelative bounds the relative run time from below: a target isn't trusted to be faster than this.
const minRelative = 0.25

func atLeast(relative float64) float64 { return max(relative, minRelative) }
