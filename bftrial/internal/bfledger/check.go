package bfledger

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"bilberryflow.org/platform/bfdialect"
)

const (
	// RevokeWithin is the setting revocation.within of the nodes.
	RevokeWithin = 5 * time.Second
	// Window is the setting quotas.window.
	Window = 5 * time.Second
	// Overshoot is the share of its limit that a workspace may run more than it.
	Overshoot = 0.1
	// Slack is the number of requests above that.
	Slack = 20
	// lowerWithin is how long after its acknowledgement a lower limit may take effect: a version is in
	// force on every node that honours keys within RevokeWithin, and the limit one Window after that.
	lowerWithin = RevokeWithin + Window
)

var headers = bfdialect.Headers()

// sent is one request. key is nil for a request without one.
type sent struct {
	key *Key
	at  time.Time
}

// run is the first run of one request. Repetitions inside the mesh don't count towards a limit.
type run struct {
	id, workspace string
	at            time.Time
}

// Send records a request that is about to be sent and adds its key, and sometimes a forged workspace, to
// its header.
func (l *Ledger) Send(id string, key *Key, header http.Header) {
	if l == nil {
		return
	}
	if key != nil {
		header.Set("Authorization", "Bearer "+key.text)
	}
	if rand.IntN(4) == 0 {
		header[headers.Workspace] = []string{"forged", Small}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = sent{key, time.Now()}
}

// RecordRun records and checks a run at a target. Requests that no caller sent are nested calls, which
// have no workspace.
func (l *Ledger) RecordRun(id string, r *http.Request) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	name := strings.Join(r.Header.Values(headers.Workspace), ",")
	request, want := l.sent[id], ""
	if k := request.key; k != nil {
		want = k.workspace
		if k.never {
			l.addViolation("%s ran with a key that was never valid", id)
		}
		if !k.removed.IsZero() && request.at.After(k.removed.Add(RevokeWithin)) {
			l.addViolation("%s of workspace %s ran, sent %v after the removal of its key", id, want, request.at.Sub(k.removed))
		}
	}
	if name != want {
		l.addViolation("%s ran with the workspace %q instead of %q", id, name, want)
	}
	if strings.Contains(r.RequestURI+fmt.Sprint(r.Header), keyPrefix) {
		l.addViolation("%s ran with a key in its header", id)
	}
	if !l.started[id] {
		l.started[id] = true
		l.runs = append(l.runs, run{id, want, now})
	}
}

func (l *Ledger) addViolation(format string, values ...any) {
	l.violations = append(l.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// WorkspaceOf returns the workspace of a request's key, "" for one that was never valid or no key.
func (l *Ledger) WorkspaceOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.sent[id].key; k != nil && !k.never {
		return k.workspace
	}
	return ""
}

// MayBeUnknown reports whether a request that ended at a time may have been refused with 401, as its
// key was not valid all the time. An added key may be unknown as long as a removed one may be known.
func (l *Ledger) MayBeUnknown(id string, ended time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.sent[id]
	k := request.key
	switch {
	case k == nil:
		return false
	case k.never:
		return true
	case !k.added.IsZero() && request.at.Before(k.added.Add(RevokeWithin)):
		return true
	default:
		return !k.removing.IsZero() && ended.After(k.removing)
	}
}

// Violations returns what was found, with the excess of the limits and keys in the logs of processes.
func (l *Ledger) Violations(logs string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.workspaces {
		l.checkLimit(w)
	}
	if strings.Contains(logs, keyPrefix) {
		l.addViolation("the log of a process contains a key")
	}
	return l.violations
}

// checkLimit checks the window that exceeds a workspace's limit by most.
func (l *Ledger) checkLimit(w *workspace) {
	var runs []time.Time
	for _, r := range l.runs {
		if r.workspace == w.name {
			runs = append(runs, r.at)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	worst, text, end := 0.0, "", 0
	for first, from := range runs {
		for end < len(runs) && runs[end].Before(from.Add(Window)) {
			end++
		}
		if allowed := w.allowed(from); allowed > 0 && float64(end-first)-allowed > worst {
			worst = float64(end-first) - allowed
			text = fmt.Sprintf("%d requests of workspace %s ran in %v from %s, %.0f are allowed", end-first, w.name, Window, from.Format("15:04:05.000"), allowed)
		}
	}
	if worst > 0 {
		l.addViolation("%s", text)
	}
}

// allowed returns how many requests may run in a window from a time, 0 for any number.
func (w *workspace) allowed(from time.Time) (most float64) {
	if w.limits[0].rate == 0 {
		return 0
	}
	for i, limit := range w.limits {
		replaced := i+1 < len(w.limits) && from.After(w.limits[i+1].from.Add(lowerWithin))
		if limit.from.Before(from.Add(Window)) && !replaced {
			most = max(most, (float64(limit.rate)*Window.Seconds()+float64(limit.burst))*(1+Overshoot)+Slack)
		}
	}
	return most
}

// WriteCounts writes how many requests of each workspace were sent and ran.
func (l *Ledger) WriteCounts(out io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, ran := map[string]int{}, map[string]int{}
	for id, s := range l.sent {
		if s.key != nil {
			total[s.key.workspace]++
			if l.started[id] {
				ran[s.key.workspace]++
			}
		}
	}
	for _, w := range l.workspaces {
		fmt.Fprintf(out, "%s: %d sent, %d ran; ", w.name, total[w.name], ran[w.name])
	}
	fmt.Fprintln(out)
}
