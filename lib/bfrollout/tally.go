package bfrollout

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Outcome is how a request ended that reached a target.
type Outcome struct {
	// Bad is set if it failed: an error of the target, a broken answer or none in time.
	Bad bool
	// Run is how long the target ran it, 0 if that is not known or the target was warming up.
	Run time.Duration
}

// Sums are the outcomes of one version's requests. Their fields only grow.
type Sums struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Bad      int `cbor:"2,keyasint,omitempty"`
	// Timed is the number of requests with a known run time; Log and LogSquared are the sums of the
	// logarithms of the seconds that they ran, and of their squares.
	Timed      int     `cbor:"3,keyasint,omitempty"`
	Log        float64 `cbor:"4,keyasint,omitempty"`
	LogSquared float64 `cbor:"5,keyasint,omitempty"`
}

func (s *Sums) note(o Outcome) {
	s.Requests++
	if o.Bad {
		s.Bad++
	}
	if o.Run > 0 && !o.Bad {
		x := math.Log(o.Run.Seconds())
		s.Timed++
		s.Log += x
		s.LogSquared += x * x
	}
}

// add adds other, scaled by sign.
func (s *Sums) add(other Sums, sign int) {
	s.Requests += sign * other.Requests
	s.Bad += sign * other.Bad
	s.Timed += sign * other.Timed
	s.Log += float64(sign) * other.Log
	s.LogSquared += float64(sign) * other.LogSquared
}

// Pair holds the outcomes of both versions on one route: those of the old version together, those
// of the new one by target.
type Pair struct {
	Old Sums            `cbor:"1,keyasint"`
	New map[string]Sums `cbor:"2,keyasint,omitempty"`
}

// allNew returns the outcomes of the new version.
func (p Pair) allNew() (sums Sums) {
	for _, s := range p.New {
		sums.add(s, 1)
	}
	return sums
}

// plus returns the pair with another one added, scaled by sign.
func (p Pair) plus(other Pair, sign int) Pair {
	p.Old.add(other.Old, sign)
	if len(other.New) > 0 && p.New == nil {
		p.New = map[string]Sums{}
	}
	for target, s := range other.New {
		total := p.New[target]
		total.add(s, sign)
		p.New[target] = total
	}
	return p
}

// Cell holds the outcomes that one entry counted in one time slice, by route. A later copy of a
// cell replaces an earlier one.
type Cell struct {
	Bucket int             `cbor:"1,keyasint"`
	Routes map[string]Pair `cbor:"2,keyasint"`
}

func (c Cell) requests() (n int) {
	for _, p := range c.Routes {
		n += p.Old.Requests + p.allNew().Requests
	}
	return n
}

// Tally counts the outcomes of one entry's requests. It is safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	cells []Cell
}

// keptCells is the number of newest cells that are sent again, so that a lost message does no harm.
const keptCells = 2

// Note counts an outcome in a time slice; newTarget is the target that ran the request, "" for one
// of the old version.
func (t *Tally) Note(bucket int, route, newTarget string, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.cells); n == 0 || t.cells[n-1].Bucket < bucket {
		t.cells = append(t.cells, Cell{Bucket: bucket, Routes: map[string]Pair{}})
		t.cells = t.cells[max(len(t.cells)-keptCells, 0):]
	}
	routes := t.cells[len(t.cells)-1].Routes
	var noted Sums
	noted.note(o)
	if newTarget == "" {
		routes[route] = routes[route].plus(Pair{Old: noted}, 1)
	} else {
		routes[route] = routes[route].plus(Pair{New: map[string]Sums{newTarget: noted}}, 1)
	}
}

// Cells returns copies of the newest cells.
func (t *Tally) Cells() []Cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	cells := make([]Cell, 0, len(t.cells))
	for _, c := range t.cells {
		clone := Cell{Bucket: c.Bucket, Routes: make(map[string]Pair, len(c.Routes))}
		for route, p := range c.Routes {
			clone.Routes[route] = Pair{Old: p.Old, New: maps.Clone(p.New)}
		}
		cells = append(cells, clone)
	}
	return cells
}
