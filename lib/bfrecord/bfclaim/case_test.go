package bfclaim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfrecord"
)

// cluster is a few nodes and the table; it runs one state machine at a time.
type cluster struct {
	t      *testing.T
	is     *is.I
	table  *faultyTable
	nodes  map[string]*node
	minter *bfrecord.Minter
	now    time.Time
	// faults apply to the next calls of the table, in order; later calls succeed.
	faults []fault
	silent bool
}

func newCluster(t *testing.T) *cluster {
	return &cluster{
		t: t, is: is.New(t), table: &faultyTable{Memory: newMemory()}, now: start,
		nodes:  map[string]*node{"a": newNode("a", 1), "b": newNode("b", 1)},
		minter: bfrecord.NewMinter(bfrecord.NodeIncarnation{Instance: "entry", Incarnation: 1}),
	}
}

func (s *cluster) fault() fault {
	if len(s.faults) == 0 {
		return faultNone
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// perform executes an action and returns the resulting event.
func (s *cluster) perform(action Action) Event {
	switch a := action.(type) {
	case Read:
		return s.table.read(a.Key(), s.fault())
	case Commit:
		return CommitEnded{Err: s.table.commit(a.Transaction(), s.fault())}
	case AskHome:
		return s.ask(a.Request())
	}
	return Elapsed{}
}

func (s *cluster) ask(request bfrecord.ResolveRequest) Event {
	n, found := s.nodes[request.Home.Instance]
	if !found || s.silent {
		return HomeUnreachable{}
	}
	return HomeAnswered{Resolution: n.tracker.Resolve(s.now, request.ID, request.Home)}
}

// drive runs a state machine until Done.
func (s *cluster) drive(m stateMachine) Result {
	action := m.Next(s.now, Start{})
	for range 20 {
		if done, ended := action.(Done); ended {
			return done.Result()
		}
		if wait, waits := action.(Wait); waits {
			s.now = s.now.Add(wait.Duration())
		}
		action = m.Next(s.now, s.perform(action))
	}
	s.t.Fatalf("state machine did not end, last action %T", action)
	return nil
}

// send delivers a request to the node and claims its key.
func (s *cluster) send(at string, content byte) (Spec, Result) {
	spec, claim := s.nodes[at].arrive(s.now, s.minter.Next(s.now), "stem-7", content)
	return spec, s.drive(claim)
}

func (s *cluster) finish(at string, spec Spec) {
	answer := bfrecord.NewWholeAnswer(201, nil, []byte("nominated"))
	s.is.NoErr(s.nodes[at].tracker.Finish(s.now, spec.ID, answer))
}

func (s *cluster) record(spec Spec) Result {
	return s.drive(Record(spec, bfrecord.NewWholeAnswer(201, nil, []byte("nominated")), ""))
}

// refuse aborts a request whose claim was not granted.
func (s *cluster) refuse(spec Spec) {
	s.is.NoErr(s.nodes[spec.Home.Instance].tracker.Abort(s.now, spec.ID))
}

func (s *cluster) wantType(result Result, want Result) {
	s.t.Helper()
	if got, want := fmt.Sprintf("%T", result), fmt.Sprintf("%T", want); got != want {
		s.t.Fatalf("got %s, want %s", got, want)
	}
}

func (s *cluster) wantRecorded(result Result) {
	s.t.Helper()
	s.wantType(result, RecordedOutcome{})
	s.is.Equal(string(result.(RecordedOutcome).Answer().(bfrecord.WholeAnswer).Body()), "nominated")
}

// Guards against a second run when a key is resent through another node: while the
// first request runs, before and after its outcome is recorded, and after its node is replaced.
func TestKeyResend(t *testing.T) {
	s := newCluster(t)
	first, result := s.send("a", 1)
	s.wantType(result, Granted{})
	_, result = s.send("b", 1)
	s.wantType(result, InProgress{})
	s.is.Equal(result.(InProgress).ID(), first.ID)
	s.finish("a", first)
	_, result = s.send("b", 1)
	s.wantRecorded(result)
	s.is.Equal(s.record(first), Settled{written: true})
	s.nodes["a"] = newNode("a", 2)
	_, result = s.send("b", 1)
	s.wantRecorded(result)
	_, result = s.send("b", 2)
	s.wantType(result, ContentMismatch{})
}

// Guards against a second run of a key whose home crashed between the run and the
// record of its outcome.
func TestHomeDiesBeforeRecord(t *testing.T) {
	s := newCluster(t)
	first, result := s.send("a", 1)
	s.wantType(result, Granted{})
	s.finish("a", first)
	s.nodes["a"] = newNode("a", 2)
	for _, at := range []string{"b", "a", "b"} {
		_, result = s.send(at, 1)
		s.wantType(result, HomeGone{})
		s.is.Equal(result.(HomeGone).ID(), first.ID)
	}
	delete(s.nodes, "a")
	_, result = s.send("b", 1)
	s.wantType(result, InProgress{})
	// Age does not free a running row: its holder may only be paused.
	s.now = s.now.Add(48 * time.Hour)
	_, result = s.send("b", 1)
	s.wantType(result, InProgress{})
}

// Guards against a run without a claim, or a refusal due to the claim's own row, when
// the table is unavailable or the outcome of a write is unknown.
func TestClaimOverFaultyTable(t *testing.T) {
	for _, c := range []struct {
		faults []fault
		want   Result
	}{
		{[]fault{faultUnavailable}, Refused{retryAfter: 3 * time.Second}},
		{[]fault{faultAnswerLost}, Granted{}},
		{[]fault{faultWriteLost, faultNone, faultWriteLost}, Granted{}},
		{[]fault{faultAnswerLost, faultUnavailable}, Refused{retryAfter: 3 * time.Second, release: true}},
		{
			[]fault{faultWriteLost, faultNone, faultWriteLost, faultNone, faultWriteLost, faultNone, faultWriteLost},
			Refused{retryAfter: DefaultRetryAfter, release: true},
		},
	} {
		s := newCluster(t)
		s.faults = c.faults
		spec, result := s.send("a", 1)
		s.is.Equal(result, c.want)
		if _, refused := result.(Refused); refused {
			s.refuse(spec)
			_, result = s.send("b", 1)
			s.wantType(result, Granted{})
		}
	}
}

// Guards against a key blocked by a claim whose write took effect after its request
// was refused: a resend queries the home and takes the key over.
func TestLateClaimIsTakenOver(t *testing.T) {
	s := newCluster(t)
	s.faults = []fault{faultAppliedLate, faultUnavailable}
	first, result := s.send("a", 1)
	s.wantType(result, Refused{})
	s.is.True(result.(Refused).NeedsRelease())
	s.refuse(first)
	s.table.applyLate()
	second, result := s.send("b", 1)
	s.wantType(result, Granted{})
	// The first request's late release must not free the second request's key.
	s.is.Equal(s.drive(Release(first)), Settled{written: false})
	_, result = s.send("a", 1)
	s.wantType(result, InProgress{})
	s.finish("b", second)
	s.is.Equal(s.record(second), Settled{written: true})
	_, result = s.send("a", 1)
	s.wantRecorded(result)
}

// Guards against reporting an unknown outcome that was recorded between the read of
// the row and the query to its home, which was then replaced.
func TestOutcomeRecordedBeforeHomeIsAsked(t *testing.T) {
	s := newCluster(t)
	first, _ := s.send("a", 1)
	_, resend := s.nodes["b"].arrive(s.now, s.minter.Next(s.now), "stem-7", 1)
	ask := resend.Next(s.now, s.perform(resend.Next(s.now, Start{}))).(AskHome)
	s.finish("a", first)
	s.is.Equal(s.record(first), Settled{written: true})
	s.nodes["a"] = newNode("a", 2)
	read := resend.Next(s.now, s.perform(ask))
	s.wantRecorded(resend.Next(s.now, s.perform(read)).(Done).Result())
}

// Guards against a key that stays unknown forever after a late claim write of a
// crashed home: the release changes the revision, so the late write fails.
func TestReleaseFencesLateClaim(t *testing.T) {
	for _, c := range []struct{ claim, release []fault }{
		{[]fault{faultAppliedLate, faultUnavailable}, []fault{faultUnavailable, faultNone, faultAnswerLost}},
		{[]fault{faultAppliedLate}, nil},
	} {
		s := newCluster(t)
		s.faults = c.claim
		first, _ := s.send("a", 1)
		s.refuse(first)
		s.faults = c.release
		s.is.Equal(s.drive(Release(first)), Settled{written: true})
		s.nodes["a"] = newNode("a", 2)
		s.table.applyLate()
		_, result := s.send("b", 1)
		s.wantType(result, Granted{})
	}
}

// Guards against a holder that was paused past its deadline running the request late:
// it releases the key instead.
func TestHolderResumesAfterDeadline(t *testing.T) {
	s := newCluster(t)
	spec, claim := s.nodes["a"].arrive(s.now, s.minter.Next(s.now), "stem-7", 1)
	event := s.perform(claim.Next(s.now, Start{}))
	_, result := s.send("b", 1)
	s.wantType(result, InProgress{})
	s.now = spec.Deadline.Add(time.Second)
	result = claim.Next(s.now, event).(Done).Result()
	s.wantType(result, Refused{})
	s.is.True(result.(Refused).NeedsRelease())
	s.refuse(spec)
	_, result = s.send("b", 1)
	s.wantType(result, Granted{})
}

// Guards against an outcome that is removed before its retention ends, or a key that never becomes claimable again.
func TestRecordExpires(t *testing.T) {
	s := newCluster(t)
	first, _ := s.send("a", 1)
	s.finish("a", first)
	s.is.Equal(s.record(first), Settled{written: true})
	s.now = first.Deadline.Add(first.Retention - time.Millisecond)
	_, result := s.send("b", 1)
	s.wantRecorded(result)
	s.now = s.now.Add(time.Millisecond)
	_, result = s.send("b", 2)
	s.wantType(result, Granted{})
}
