package bfslot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// useWindow is the time constant of the moving average of the slots that a workspace holds. It
	// covers several requests of each workspace, so that one of short requests is neither favoured
	// nor starved beside one of long requests.
	useWindow = time.Second
	// negligibleUse is the average below which a workspace without requests no longer competes.
	negligibleUse = 0.01
	// minSweep and maxWorkspaces bound the workspaces that are kept for their recent use only.
	minSweep      = 64
	maxWorkspaces = 1024
	// maxFillPasses bounds the passes over the workspaces that one share takes. An earlier end
	// gives a lower share.
	maxFillPasses = 16
	// maxEpoch bounds the time for which one scale is kept: its factor must not underflow.
	maxEpoch = 100 * useWindow
)

// workspace holds the use of the slots by one workspace, and its waiting requests.
type workspace struct {
	name string
	held int
	// excess is how much the moving average of held exceeds held, on the scale of Queue.fading.
	excess float64
	// lines are its waiting requests in each lane.
	lines [lanes]line
	// turns are counted for each lane on its own scale.
	turns [lanes]turns
	// classes are its kinds of requests that wait or have recently been refused.
	classes []*class
}

// class holds the turns of the requests of one class of a workspace.
type class struct {
	name    string
	waiting int
	turns   turns
}

// maxWorkspaceClasses bounds the classes of one workspace whose turns are kept; others have no
// minimum share.
const maxWorkspaceClasses = 32

// recent is the moving average of the slots that the workspace holds.
func (q *Queue) recent(w *workspace) float64 { return float64(w.held) + w.excess*q.fading }

// use is the number of slots that the workspace holds, now or on average, whichever is more.
func (q *Queue) use(w *workspace) float64 { return float64(w.held) + max(w.excess*q.fading, 0) }

// hold changes the number of slots that the workspace holds, which leaves its average as it is.
func (q *Queue) hold(w *workspace, change int) {
	w.held += change
	w.excess -= float64(change) / q.fading
}

// Advance sets the present time, which the recent use of workspaces depends on.
//
// The averages of all workspaces fade at the same rate, so that one factor brings all of them up to
// the present: it is 1 at epoch.
func (q *Queue) Advance(now time.Time) {
	if q.epoch.IsZero() || now.Sub(q.epoch) > maxEpoch {
		q.rebase(now)
	}
	q.now = now
	q.fading = min(fadeBy(now.Sub(q.epoch)), 1)
}

// rebase moves epoch to the present.
func (q *Queue) rebase(now time.Time) {
	factor := fadeBy(now.Sub(q.epoch))
	for _, w := range q.active {
		w.excess *= factor
	}
	q.epoch = now
}

// fadeBy is the factor by which an average fades in a period.
func fadeBy(period time.Duration) float64 { return math.Exp(-period.Seconds() / useWindow.Seconds()) }

func (w *workspace) waits() bool {
	return len(w.lines[nestedLane].tickets)+len(w.lines[callerLane].tickets) > 0
}

func (w *workspace) isIdle() bool { return w.held == 0 && !w.waits() }

// class returns the turns of a class, nil if too many are kept.
func (w *workspace) class(name string) *class {
	for _, c := range w.classes {
		if c.name == name {
			return c
		}
	}
	if len(w.classes) >= maxWorkspaceClasses {
		for at, c := range w.classes {
			if c.waiting == 0 {
				w.classes[at] = &class{name: name}
				return w.classes[at]
			}
		}
		return nil
	}
	c := &class{name: name}
	w.classes = append(w.classes, c)
	return c
}

// clearDenied is called for a request of a class that gets a slot at once.
func (w *workspace) clearDenied(lane int, class string) {
	w.turns[lane].denied = 0
	for _, c := range w.classes {
		if lane == callerLane && c.name == class {
			c.turns.denied = 0
		}
	}
}

// workspace returns the workspace with a name, which it adds if necessary.
func (q *Queue) workspace(name string) *workspace {
	w := q.workspaces[name]
	if w == nil {
		q.dropIdle()
		w = &workspace{name: name}
		q.workspaces[name] = w
		q.active = append(q.active, w)
	}
	return w
}

// dropIdle removes the workspaces without use once their number has doubled, and all without
// requests beyond maxWorkspaces.
func (q *Queue) dropIdle() {
	if len(q.active) < q.sweepAt {
		return
	}
	q.drop(func(w *workspace) bool { return w.isIdle() && q.recent(w) < negligibleUse })
	if len(q.active) >= maxWorkspaces {
		q.drop((*workspace).isIdle)
	}
	q.sweepAt = min(max(minSweep, 2*len(q.active)), max(maxWorkspaces, len(q.active)+1))
}

// drop removes the workspaces for which unused returns true.
func (q *Queue) drop(unused func(*workspace) bool) {
	q.active = slices.DeleteFunc(q.active, func(w *workspace) bool {
		if !unused(w) {
			return false
		}
		delete(q.workspaces, w.name)
		return true
	})
}

// updateShare computes the max-min fair share: those that want slots get equally many, except that
// one without waiting requests wants no more than it uses. arriving counts as waiting.
func (q *Queue) updateShare(arriving *workspace) {
	q.share, q.competes = float64(q.slots), false
	if len(q.active) < 2 {
		return
	}
	q.satisfied = q.satisfied[:0]
	wanting := 0
	for _, w := range q.active {
		if w == arriving || w.waits() {
			wanting++
		} else if use := q.use(w); use >= negligibleUse {
			q.satisfied = append(q.satisfied, use)
		}
	}
	q.competes = wanting+len(q.satisfied) > 1
	if !q.competes {
		return
	}
	left := float64(q.slots)
	for range maxFillPasses {
		q.share = left / float64(max(wanting+len(q.satisfied), 1))
		kept := q.satisfied[:0]
		for _, use := range q.satisfied {
			if use <= q.share {
				left -= use
				continue
			}
			kept = append(kept, use)
		}
		if len(kept) == len(q.satisfied) {
			return
		}
		q.satisfied = kept
	}
}

// standing is what the order of requests of different workspaces depends on.
type standing struct {
	// beyond is set if the workspace holds its fair share without the request.
	beyond  bool
	starved bool
	rank    int
	use     float64
	arrived uint64
}

// standing returns the standing of a request with a number of requests of its workspace before it.
func (q *Queue) standing(w *workspace, t *Ticket, before int) standing {
	use := q.use(w) + float64(before)
	return standing{
		beyond: q.competes && use >= q.share, starved: before == 0 && w.turns[t.lane].areDue(q.acceptance, q.lanes[t.lane].served),
		rank: t.request.Rank, use: use, arrived: t.arrived,
	}
}

// compare orders requests of different workspaces: those within their fair share first, then
// those that are due for the minimum share, then by rank, then by the fewest slots.
func (a standing) compare(b standing) int {
	if a.beyond != b.beyond {
		return compareBool(b.beyond, a.beyond)
	}
	if a.starved != b.starved {
		return compareBool(a.starved, b.starved)
	}
	rank := cmp.Compare(a.rank, b.rank)
	if a.starved {
		rank = 0
	}
	return cmp.Or(rank, cmp.Compare(a.use, b.use), cmp.Compare(a.arrived, b.arrived))
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
