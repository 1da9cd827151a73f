package bfclaim

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfstore"
)

var update = flag.Bool("update", false, "write the golden files")

// TestMain fixes rapid's seed so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	values := map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "3000", "rapid.steps": "100",
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// fault is the failure of one table call.
type fault string

const (
	faultNone        fault = "none"
	faultUnavailable fault = "unavailable"  // not applied, and reported so
	faultAnswerLost  fault = "answer lost"  // applied, but the response was lost
	faultWriteLost   fault = "write lost"   // not applied, but reported as unknown
	faultAppliedLate fault = "applied late" // reported as unknown, applied later
)

// faultyTable is an in-memory table with a fault injected per call.
type faultyTable struct {
	*bfstore.Memory
	late []bfstore.Transaction
}

func (t *faultyTable) commit(tx bfstore.Transaction, f fault) error {
	switch f {
	case faultUnavailable:
		return &bfstore.UnavailableError{Reason: "unavailable", RetryAfter: 3 * time.Second}
	case faultWriteLost:
		return &bfstore.UnknownError{Reason: "lost"}
	case faultAppliedLate:
		t.late = append(t.late, tx)
		return &bfstore.UnknownError{Reason: "late"}
	}
	err := t.Commit(context.Background(), tx)
	if f == faultAnswerLost {
		return &bfstore.UnknownError{Reason: "answer lost"}
	}
	return err
}

func (t *faultyTable) read(key string, f fault) RowRead {
	if f != faultNone {
		return RowRead{Err: &bfstore.UnavailableError{Reason: "unavailable", RetryAfter: 3 * time.Second}}
	}
	rows, err := t.Get(context.Background(), key)
	if err != nil {
		return RowRead{Err: err}
	}
	return RowRead{Row: rows[0]}
}

// applyLate applies the late writes whose conditions still hold.
func (t *faultyTable) applyLate() {
	for _, tx := range t.late {
		_ = t.Commit(context.Background(), tx)
	}
	t.late = nil
}

// node is one home: an incarnation of an instance and its Tracker.
type node struct {
	home    bfrecord.NodeIncarnation
	tracker *bfrecord.Tracker
}

func newNode(instance string, incarnation uint64) *node {
	home := bfrecord.NodeIncarnation{Instance: instance, Incarnation: incarnation}
	return &node{home: home, tracker: bfrecord.NewTracker(home, bfrecord.DefaultLimits())}
}

// arrive begins a request with the key at the node; the claim is nil if the Tracker refuses it.
func (n *node) arrive(now time.Time, id bfrecord.ID, key string, content byte) (Spec, *Claim) {
	spec := Spec{
		Key: Key{Tenant: "derwent", Route: "nominations", Key: key}, Content: bfrecord.Digest{content},
		Home: n.home, ID: id, Deadline: now.Add(10 * time.Second), Retention: 24 * time.Hour,
	}
	verdict := n.tracker.Begin(now, bfrecord.Request{ID: id, Home: n.home, Content: spec.Content})
	if (verdict != bfrecord.Run{}) {
		return spec, nil
	}
	return spec, NewClaim(spec)
}

// stateMachine is implemented by Claim and Settlement.
type stateMachine interface {
	Next(now time.Time, event Event) Action
}
