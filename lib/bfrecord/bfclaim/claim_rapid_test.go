package bfclaim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberryflow.org/lib/bfrecord"
)

// task is one request at one home, with its claim, run and settlement.
type task struct {
	at      *node
	spec    Spec
	machine stateMachine
	// next is the state machine's pending action; nil once it ended or while its commit is in a batcher.
	next    Action
	granted bool
	// aborted and ran are the actual history of this request ID.
	aborted, ran bool
}

// fleet is several nodes with interleaved tasks over a faulty table. A task that
// is not picked for a while models a paused holder; a task of a replaced node
// models a process that still runs after it was assumed dead.
type fleet struct {
	t      *rapid.T
	now    time.Time
	table  *faultyTable
	minter *bfrecord.Minter
	// nodes are the current incarnations; processes also include replaced ones that may still act.
	nodes     []*node
	processes []*node
	batchers  map[*node]*Batcher[*task]
	tasks     []*task
	runs      map[string]int
	answer    map[string]string
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: start, table: &faultyTable{Memory: newMemory()},
		minter:   bfrecord.NewMinter(bfrecord.NodeIncarnation{Instance: "entry", Incarnation: 1}),
		batchers: map[*node]*Batcher[*task]{}, runs: map[string]int{}, answer: map[string]string{},
	}
	for _, instance := range []string{"a", "b", "c"} {
		f.addNode(newNode(instance, 1))
	}
	return f
}

func (f *fleet) addNode(n *node) {
	f.nodes = append(f.nodes, n)
	f.start(n)
}

func (f *fleet) start(n *node) {
	f.processes = append(f.processes, n)
	f.batchers[n] = NewBatcher[*task](time.Hour, 3)
}

func (f *fleet) advanceTime(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.SampledFrom([]int{1, 1, 100, 4000, 11000}).Draw(t, "ms")) * time.Millisecond)
}

func (f *fleet) send(t *rapid.T) {
	n := rapid.SampledFrom(f.nodes).Draw(t, "node")
	key := rapid.SampledFrom([]string{"stem-1", "stem-2"}).Draw(t, "key")
	spec, claim := n.arrive(f.now, f.minter.Next(f.now), key, 1)
	job := &task{at: n, spec: spec}
	f.tasks = append(f.tasks, job)
	f.begin(job, claim)
}

func (f *fleet) begin(job *task, m stateMachine) {
	job.machine = m
	f.take(job, m.Next(f.now, Start{}))
}

// take stores the task's next action, or processes the final result.
func (f *fleet) take(job *task, action Action) {
	job.next = action
	done, ended := action.(Done)
	if !ended {
		return
	}
	job.next = nil
	switch result := done.Result().(type) {
	case Granted:
		job.granted = true
	case Settled:
	case RecordedOutcome:
		f.checkRecorded(job, result)
		f.abort(job)
	case Refused:
		f.abort(job)
		if result.NeedsRelease() {
			f.begin(job, Release(job.spec))
		}
	default:
		f.abort(job)
	}
}

func (f *fleet) checkRecorded(job *task, result RecordedOutcome) {
	body := string(result.Answer().(bfrecord.WholeAnswer).Body())
	if want := f.answer[job.spec.Key.Key]; body != want {
		f.t.Fatalf("resend of %s received %q, the run returned %q", job.spec.Key.Key, body, want)
	}
}

func (f *fleet) abort(job *task) {
	job.aborted = true
	if err := job.at.tracker.Abort(f.now, job.spec.ID); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) pick(t *rapid.T, ready func(*task) bool) *task {
	var found []*task
	for _, job := range f.tasks {
		if ready(job) {
			found = append(found, job)
		}
	}
	if len(found) == 0 {
		t.Skip("no such task")
	}
	return rapid.SampledFrom(found).Draw(t, "task")
}

// step executes one action of one task; a commit is sent at once or stays in its batcher.
func (f *fleet) step(t *rapid.T) {
	job := f.pick(t, func(job *task) bool { return job.next != nil })
	action := job.next
	job.next = nil
	switch a := action.(type) {
	case Read:
		f.take(job, job.machine.Next(f.now, f.table.read(a.Key(), f.drawFault(t))))
	case AskHome:
		f.take(job, job.machine.Next(f.now, f.ask(t, a.Request())))
	case Wait:
		f.take(job, job.machine.Next(f.now, Elapsed{}))
	case Commit:
		f.batchers[job.at].Add(f.now, job, a)
		if rapid.Bool().Draw(t, "at once") {
			f.sendBatch(t, job.at)
		}
	}
}

func (f *fleet) drawFault(t *rapid.T) fault {
	faults := []fault{faultNone, faultNone, faultNone, faultNone, faultUnavailable, faultAnswerLost, faultWriteLost, faultAppliedLate}
	return rapid.SampledFrom(faults).Draw(t, "fault")
}

// ask queries the instance's newest incarnation, which may be unreachable.
func (f *fleet) ask(t *rapid.T, request bfrecord.ResolveRequest) Event {
	if rapid.IntRange(0, 4).Draw(t, "silent") == 0 {
		return HomeUnreachable{}
	}
	for _, n := range slices.Backward(f.nodes) {
		if n.home.Instance == request.Home.Instance {
			return HomeAnswered{Resolution: n.tracker.Resolve(f.now, request.ID, request.Home)}
		}
	}
	return HomeUnreachable{}
}

func (f *fleet) flush(t *rapid.T) {
	var waiting []*node
	for _, n := range f.processes {
		if f.batchers[n].Len() > 0 {
			waiting = append(waiting, n)
		}
	}
	if len(waiting) == 0 {
		t.Skip("nothing to commit")
	}
	f.sendBatch(t, rapid.SampledFrom(waiting).Draw(t, "process"))
}

// sendBatch commits one process's batch and the retries after conflicts.
func (f *fleet) sendBatch(t *rapid.T, n *node) {
	first, ok := f.batchers[n].Take(f.now.Add(2 * time.Hour))
	if !ok {
		return
	}
	for batches := []*Batch[*task]{first}; len(batches) > 0; batches = batches[1:] {
		err := f.table.commit(batches[0].Transaction(), f.drawFault(t))
		ended, retries := batches[0].Complete(err)
		batches = append(batches, retries...)
		for _, e := range ended {
			f.take(e.Owner(), e.Owner().machine.Next(f.now, e.Event()))
		}
	}
}

func (f *fleet) applyLateWrites(t *rapid.T) {
	if len(f.table.late) == 0 {
		t.Skip("nothing late")
	}
	f.table.applyLate()
}

// run runs a granted request at the target and records the outcome, or cancels and releases it.
func (f *fleet) run(t *rapid.T) {
	job := f.pick(t, func(job *task) bool { return job.granted })
	job.granted = false
	if rapid.IntRange(0, 3).Draw(t, "canceled") == 0 {
		f.abort(job)
		f.begin(job, Release(job.spec))
		return
	}
	key := job.spec.Key.Key
	job.ran = true
	f.runs[key]++
	f.answer[key] = fmt.Sprintf("run %d of %s", f.runs[key], key)
	answer := bfrecord.NewWholeAnswer(201, nil, []byte(f.answer[key]))
	if err := job.at.tracker.Finish(f.now, job.spec.ID, answer); err != nil {
		f.t.Fatal(err)
	}
	f.begin(job, Record(job.spec, answer, ""))
}

// replace starts a new incarnation of a node; the old process's tasks end, or continue.
func (f *fleet) replace(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "node")
	old := f.nodes[i]
	if rapid.Bool().Draw(t, "dead") {
		f.tasks = slices.DeleteFunc(f.tasks, func(job *task) bool { return job.at == old })
		f.batchers[old] = NewBatcher[*task](time.Hour, 3)
	}
	f.nodes[i] = newNode(old.home.Instance, old.home.Incarnation+1)
	f.start(f.nodes[i])
}

func (f *fleet) check(t *rapid.T) {
	for key, n := range f.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
	for _, job := range f.tasks {
		if job.aborted && job.ran {
			t.Fatalf("%s was refused but ran", job.spec.ID)
		}
	}
}

// Guards against a second run of a key, or a wrong recorded outcome, under lost, late
// and failed table writes, batch conflicts, unreachable homes and replaced nodes.
func TestClaimsInterleaved(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"":     f.check,
			"pass": f.advanceTime,
			"send": f.send, "send2": f.send,
			"step": f.step, "step2": f.step, "step3": f.step, "step4": f.step, "step5": f.step,
			"flush": f.flush, "land": f.applyLateWrites,
			"run": f.run, "run2": f.run,
			"replace": f.replace,
		})
		ran += len(f.runs)
	})
	// Without this check, a table that always fails would pass.
	if ran < 1000 {
		t.Errorf("only %d keys ran", ran)
	}
}
