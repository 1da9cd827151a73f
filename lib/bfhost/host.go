package bfhost

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bfflight"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflimit"
	"bilberryflow.org/lib/bfnested"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfslot"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftransfer"
)

// Config holds the dependencies of a Host.
type Config struct {
	Service string
	Names   bfheader.Names
	Client  *bfexchange.Client
	Timer   *bftimer.Service
	// Account is the node's share of the fleet's retry budgets.
	Account *bfbudget.Account
	// Changed is called with the new view of the target after each change; nil means that
	// there is no target.
	Changed func(*bflifecycle.Target)
	// AwaitDepartures is set if an earlier process of the node may have been told of departures:
	// LearnDepartures follows.
	AwaitDepartures bool
	// Departed is called with all known departures after each new one; nil is allowed.
	Departed func([]bflifecycle.Departure)
	// HeartbeatIgnored is called for each heartbeat that was ignored; nil is allowed.
	HeartbeatIgnored func(bflifecycle.Heartbeat, bflifecycle.Rejection)
	// HealthPath returns the path at which the target answers whether it accepts requests, "" while it
	// is not known; nil means that targets can't be asked. Spawn starts the goroutine that asks.
	HealthPath func() string
	Spawn      func(name string, fn func(ctx context.Context) error)
	// Verified is called with each answer; nil is allowed.
	Verified func(Verification)
	// Quarantine holds the requests that crash targets; nil means empty.
	Quarantine *bfquarantine.Book
	// AdmitsVersion reports whether a request may run on a target of a version; chosen is set if its
	// entry chose the version. nil admits all.
	AdmitsVersion func(version string, chosen bool) bool
	// LearnsRoom is set if resets of connections lower the number of requests that the target gets.
	LearnsRoom bool
	// Crashed is called after a crash of the target; nil is allowed.
	Crashed func(bfflight.Crash)
	// Transfers bounds how slow clients may be that occupy the target while others wait for it.
	Transfers bftransfer.Terms
	// LimitChanged is called when the target names another limit or none; nil is allowed.
	LimitChanged func(LimitChange)
}

// Host manages the node's target.
type Host struct {
	config Config
	gate   *bfslot.Gate
	// changing is held while a change of the tracker is applied and reported, mu while it is applied.
	changing sync.Mutex
	mu       sync.Mutex
	tracker  *bflifecycle.Tracker
	target   atomic.Pointer[bflifecycle.Target]
	// leaving is set once the node accepts no new requests for its target.
	leaving atomic.Bool
	// inProgress counts the requests in progress at the target, and the requests of other
	// nodes whose answers are still being sent.
	inProgress atomic.Int64
	failures   failureShare
	limit      bflimit.Keeper
	// sends counts the requests sent to the target.
	sends atomic.Int64
	// verifying is set while the target is asked whether it accepts requests.
	verifying atomic.Bool
	// runs holds the requests in progress at the target.
	runs    bfnested.Runs
	flights *bfflight.Tracker
	// transfers are the requests that occupy the target.
	transfers *bftransfer.Set
}

// New makes a Host without a target.
func New(config Config) *Host {
	if config.Quarantine == nil {
		config.Quarantine = bfquarantine.New("")
	}
	if config.LimitChanged == nil {
		config.LimitChanged = func(LimitChange) {}
	}
	h := &Host{
		config:  config,
		gate:    bfslot.New(config.Timer),
		tracker: bflifecycle.NewTracker(config.Service),

		transfers: bftransfer.NewSet(config.Transfers, config.Timer.Now),
	}
	if config.AwaitDepartures {
		h.tracker.AwaitDepartures()
	}
	if config.LearnsRoom {
		h.gate.LearnRoom()
	}
	h.flights = h.newFlightTracker()
	return h
}

// Target is the current view of the target, nil before its first heartbeat.
func (h *Host) Target() *bflifecycle.Target { return h.target.Load() }

// Load is the number of the target's slots in use and in total.
func (h *Host) Load() (used, slots int) { return h.gate.Load() }

// Leave makes the node refuse new requests for its target.
func (h *Host) Leave() { h.leaving.Store(true) }

// Leaving reports whether the node refuses new requests for its target.
func (h *Host) Leaving() bool { return h.leaving.Load() }

// Sends returns the number of requests sent to targets since the start of the node.
func (h *Host) Sends() int64 { return h.sends.Load() }

// Running is the number of requests in progress at the target, plus the answers that are
// still being sent to other nodes.
func (h *Host) Running() int64 { return h.inProgress.Load() }

// usableTarget returns the target if it accepts requests of the service, else a refusal.
//
// An address can be reused by a target of another service while other nodes still have
// the old one; the service check keeps that target from running their requests.
func (h *Host) usableTarget(policy Policy) (*bflifecycle.Target, Result) {
	target := h.target.Load()
	switch {
	case policy.Service != h.config.Service:
		return nil, Refused{Reason: WrongService}
	case target == nil || target.IsStale(h.config.Timer.Now()):
		return nil, Refused{Reason: NoTarget}
	case !target.AcceptsWork() || h.leaving.Load():
		return nil, Refused{Reason: Leaving}
	case h.withholds(target, policy):
		return nil, Refused{Reason: Withheld}
	}
	return target, nil
}

// withholds reports whether a roll-out gives the target's version no such request. A trial waits
// until the target is warm: cold, it would be slower than those it is compared with.
func (h *Host) withholds(target *bflifecycle.Target, policy Policy) bool {
	if h.config.AdmitsVersion == nil {
		return false
	}
	return !h.config.AdmitsVersion(target.Version(), policy.ChosenVersion) || policy.Trial && !target.IsWarm(h.config.Timer.Now())
}

// Run sends a job to the target, once its limit and a free slot allow it, and reads the answer.
func (h *Host) Run(ctx context.Context, job Job) Result {
	target, refused := h.usableTarget(job.Policy)
	if refused != nil {
		return refused
	}
	request := h.newQuarantineRequest(job)
	if err := h.flights.Check(request); err != nil {
		return flightRefusal(err)
	}
	arrived := h.config.Timer.Now()
	permit, refused := h.awaitPermit(ctx, target, job)
	if refused != nil {
		return refused
	}
	result, sent := h.runPermitted(ctx, job, request, arrived)
	if !sent {
		h.limit.Cancel(permit)
	}
	return result
}

// runPermitted sends a job that the target's limit allows, once a slot is free; sent is false if it
// did not reach the point of sending.
func (h *Host) runPermitted(ctx context.Context, job Job, request bfquarantine.Request, arrived time.Time) (result Result, sent bool) {
	h.endLateTransfers(ctx)
	slot, err := h.gate.Acquire(ctx, bfslot.Request{
		Class: job.Policy.Class, Workspace: job.Policy.Workspace, Nested: job.Policy.Nested, Late: job.Policy.Late, MayProbe: job.mayProbe(), Rank: job.Policy.Rank, MaxWait: job.Policy.MaxSlotWait,
	})
	var full *bfslot.FullError
	switch {
	case errors.As(err, &full):
		return Refused{Reason: Full, RetryAfter: full.RetryAfter, BeyondShare: full.BeyondShare}, false
	case err != nil:
		return Expired{}, false
	}
	// The target may have begun to drain while the request waited.
	target, refused := h.usableTarget(job.Policy)
	if refused != nil {
		slot.Release()
		return refused, false
	}
	// The request may have crashed other targets while it waited.
	flight, err := h.flights.Begin(flightTarget{h, target}, job.Request.ID, request)
	if err != nil {
		slot.Release()
		return flightRefusal(err), false
	}
	run, ok := h.config.Account.Begin(job.Policy.Class, job.Policy.origin())
	if !ok {
		flight.End()
		slot.Release()
		return Refused{Reason: OverBudget}, false
	}
	h.beginRun(job, run)
	transfer := h.transfers.Begin()
	result = h.sendToTarget(ctx, job, dispatch{target, flight, slot, transfer}, func() {
		h.endRun(job, run)
		flight.End()
		slot.Release()
		transfer.Done()
	})
	if ctx.Err() == nil || !job.Policy.Repeatable {
		// A cancelled request is no failure of the target.
		h.failures.record(result)
	}
	if answered, ok := result.(Answered); ok {
		flight.Answered()
		answered.Answer.Spent = bfanswer.Spent{
			Wait: flight.Began().Sub(arrived), Run: h.config.Timer.Now().Sub(flight.Began()), Warm: target.IsWarm(flight.Began()),
		}
	}
	return result, true
}

// Parent finds the run that made the nested call with this ID, nil if the target is not
// running such a request.
func (h *Host) Parent(id string) *bfbudget.Run { return h.runs.ParentOf(id).Run }

// ParentWorkspace returns the name of the workspace of the run that made the nested call with this
// ID, "" if there is no such run or it has no workspace.
func (h *Host) ParentWorkspace(id string) string { return h.runs.ParentOf(id).Workspace }

func (h *Host) beginRun(job Job, run *bfbudget.Run) {
	h.inProgress.Add(1)
	h.runs.Begin(job.Request.ID, bfnested.Parent{Run: run, Workspace: job.Policy.Workspace})
}

func (h *Host) endRun(job Job, run *bfbudget.Run) {
	h.runs.End(job.Request.ID)
	run.End()
	h.inProgress.Add(-1)
}

// dispatch holds the target to which a request is sent and its entry among the requests in flight.
type dispatch struct {
	target *bflifecycle.Target
	flight *bfflight.Flight
	slot   *bfslot.Slot
	// transfer tracks whether the client sends the body and reads the answer.
	transfer *bftransfer.Transfer
}

// answerMargin is the extra wait for an answer after the deadline: a target that answers
// at the deadline needs time to transmit.
const answerMargin = 100 * time.Millisecond

// sendToTarget sends the job to the target; done is called when the request no longer
// occupies it.
func (h *Host) sendToTarget(ctx context.Context, job Job, to dispatch, done func()) Result {
	left := job.Deadline.Sub(h.config.Timer.Now())
	if left <= 0 {
		done()
		return Expired{}
	}
	if !job.Policy.Repeatable {
		// The target finishes such a request even if its caller disconnects: closing
		// the connection would leave its outcome unknown.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left+answerMargin)
	finish := func() {
		cancel()
		done()
	}
	trackBody(job.Request, to.transfer, cancel)
	header := job.Request.Header
	header[h.config.Names.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	header[h.config.Names.ExpectTarget] = []string{to.target.Incarnation()}
	sent := h.config.Timer.Now()
	h.sends.Add(1)
	answer, err := h.config.Client.Send(ctx, to.target.Address(), job.Request)
	var notSent *bfexchange.NotSentError
	switch {
	case errors.As(err, &notSent):
		finish()
		if !job.Request.Resendable() {
			return Lost{Reason: err.Error()}
		}
		return NewUnsent(err)
	case err != nil:
		defer finish()
		return h.lost(ctx, err, job, to)
	}
	if answer.Status() != http.StatusMisdirectedRequest {
		// Another incarnation's answer doesn't show that the target has survived a reset.
		to.slot.Answered()
		h.observeLimit(to.target, answer.Header(), sent)
		h.observeLeaving(to.target, answer.Header())
	}
	return h.readResponse(ctx, answer, to, finish, job)
}

// lost is the result of a request whose answer did not arrive.
func (h *Host) lost(ctx context.Context, err error, job Job, to dispatch) Result {
	if to.transfer.WasLate() {
		return Lost{Reason: "body arrived too slowly while other requests waited", UnderLoad: true}
	}
	if !h.config.Timer.Now().Before(job.Deadline) {
		if lost := new(bfexchange.LostError); errors.As(err, &lost) && lost.Begun {
			// A target that sends without end fails its requests, unlike one that is slow.
			h.failures.Note(true)
		}
		return Expired{Sent: true}
	}
	to.flight.CheckCrash(ctx)
	underLoad := ctx.Err() == nil && !to.flight.Crashed() && bfexchange.IsReset(err) && to.slot.Reset()
	return Lost{Reason: err.Error(), UnderLoad: underLoad}
}

// readResponse reads the answer, or the target's statement that it did not run the request.
func (h *Host) readResponse(ctx context.Context, from *bfexchange.Answer, to dispatch, finish func(), job Job) Result {
	if from.Status() == http.StatusMisdirectedRequest {
		from.Close()
		finish()
		return h.misdirected(from.Header(), to, job)
	}
	if from.Header().Get(h.config.Names.NotRun) != "" {
		status := from.Status()
		from.Discard()
		to.slot.Shed()
		finish()
		return Shed{Status: status}
	}
	answer, err := bfanswer.Read(from, bfanswer.TargetBufferBytes, finish)
	if err != nil {
		defer finish()
		if from.Length() < 0 && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.failures.Note(true)
		}
		return h.lost(ctx, err, job, to)
	}
	answer.Transfer = to.transfer
	h.watchEnd(ctx, answer)
	if h.saysLeaving(from.Header()) {
		answer.Leaving = to.target.Start()
	}
	return Answered{answer}
}

// misdirected is the result of a request that another incarnation, now at the target's address, has
// refused; no others are sent there until its first heartbeat.
func (h *Host) misdirected(header http.Header, to dispatch, job Job) Result {
	now := h.config.Timer.Now()
	h.change(func(tr *bflifecycle.Tracker) bool { return tr.ApplyMisdirected(to.target.Incarnation(), now) })
	if header.Get(h.config.Names.NotRun) == "" && !job.Policy.Repeatable {
		return Lost{Reason: "misdirected, not stated as not run"}
	}
	return Refused{Reason: NoTarget}
}
