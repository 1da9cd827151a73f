package bfcaller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfevent"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfretry"
	"bilberryflow.org/lib/bfroute"
	"bilberryflow.org/lib/bftimer"
)

// Resolver asks a target's node what became of a request.
type Resolver interface {
	// Resolve asks the node whose peer port is at address.
	Resolve(ctx context.Context, address string, request bfrecord.ResolveRequest) (bfrecord.ResolveReply, error)
	// Mint asks for a key that only that node's present incarnation may run.
	Mint(ctx context.Context, address string) (string, error)
}

// Parts is what an Entry works with.
type Parts struct {
	// View gives the view in force, or nil before the node has one.
	View      func() *bfroute.View
	Directory *bfdirectory.Directory
	Client    *bfforward.Client
	Resolver  Resolver
	Minter    *bfrecord.Minter
	Timer     *bftimer.Service
	Metrics   *bfmetric.Registry
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Entry runs callers' requests.
type Entry struct {
	parts   Parts
	budgets bfretry.Budgets
	latency *bfmetric.Family
	tenants *bfmetric.Family
	retries *bfmetric.Counter
	asked   *bfmetric.Counter
}

// New makes an entry.
func New(parts Parts) *Entry {
	return &Entry{
		parts:   parts,
		latency: parts.Metrics.Family("entry_latency_by_class"),
		tenants: parts.Metrics.Family("entry_latency_by_tenant"),
		retries: parts.Metrics.Counter("entry_retries"),
		asked:   parts.Metrics.Counter("entry_resolves"),
	}
}

const (
	// noTargetPause is when to come back while a service has no usable target:
	// a target that starts is known everywhere within about that time.
	noTargetPause = time.Second
	// startingPause is when to come back to a node that has no configuration yet.
	startingPause = time.Second
)

// Reasons for which an entry sends a request nowhere.
const (
	reasonStarting bfrecord.Reason = "starting"
	reasonNoTarget bfrecord.Reason = "no target"
)

// call is one caller's request on its way.
type call struct {
	entry    *Entry
	request  Request
	match    bfroute.Match
	decision bfevent.Decision
	deadline time.Time
	tried    []string
	// resent is set for the second and later sendings, here or at a node above.
	resent bool
}

// Run takes the request to its end.
func (e *Entry) Run(ctx context.Context, request Request) Result {
	now := e.parts.Timer.Now()
	view := e.parts.View()
	if view == nil {
		return NotRun{ID: e.parts.Minter.Next(now), Reason: reasonStarting, RetryAfter: startingPause}
	}
	match, err := view.Match(request.Method, request.Path)
	if err != nil {
		return invalidMatch(err)
	}
	decision, found := view.Events().InForce(match.Route().Name, now)
	if !found {
		// A view's routes and its schedule are made from one state.
		return Invalid{Status: http.StatusInternalServerError, Title: "Inconsistent view", Err: &bfroute.NoRouteError{Path: request.Path}}
	}
	c := &call{entry: e, request: request, match: match, decision: decision, resent: request.Resent}
	left := decision.Policy().Deadline
	if request.Left > 0 {
		left = min(left, request.Left)
	}
	c.deadline = now.Add(left)
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	result := c.run(ctx)
	if relayed, streams := result.(Relayed); streams && relayed.Rest != nil {
		relayed.Rest = &stream{ReadCloser: relayed.Rest, done: cancel}
		result = relayed
	} else {
		cancel()
	}
	e.observe(c, now)
	return result
}

func (e *Entry) observe(c *call, start time.Time) {
	d := e.parts.Timer.Now().Sub(start)
	e.latency.Observe(c.policy().Class, d)
	if c.request.Tenant != "" {
		e.tenants.Observe(c.request.Tenant, d)
	}
}

func invalidMatch(err error) Result {
	var method *bfroute.MethodError
	if errors.As(err, &method) {
		return Invalid{Status: http.StatusMethodNotAllowed, Title: "Method not allowed", Err: err}
	}
	return Invalid{Status: http.StatusNotFound, Title: "No route", Err: err}
}

func (c *call) policy() bfconfig.PolicySpec { return c.decision.Policy() }

// run decides which of the ways of at most once the request goes.
func (c *call) run(ctx context.Context) Result {
	policy := c.policy()
	switch {
	case c.request.Key == "" || policy.Idempotent:
		return c.send(ctx, bfrecord.KeyNone)
	case bfrecord.IsMintedKey(c.request.Key):
		return c.sendMinted(ctx)
	case policy.DurableKeys:
		return c.send(ctx, bfrecord.KeyCaller)
	}
	return Invalid{Status: http.StatusBadRequest, Title: "Key not taken here", Err: &KeyPolicyError{Route: c.match.Route().Name}}
}

// KeyPolicyError reports a caller's own key on a route that takes only minted ones.
type KeyPolicyError struct{ Route string }

// Error says how to get a key.
func (e *KeyPolicyError) Error() string {
	return "route " + e.Route + " takes no callers' own idempotency keys; get one by POST " + MintPath + "?method=METHOD&path=PATH"
}

// send sends the request to targets of its service until it has an end.
func (c *call) send(ctx context.Context, kind bfrecord.KeyKind) Result {
	for {
		now := c.entry.parts.Timer.Now()
		id := c.entry.parts.Minter.Next(now)
		chooser, target, member, found := c.pick(now)
		if !found {
			return NotRun{ID: id, Reason: reasonNoTarget, RetryAfter: noTargetPause}
		}
		c.tried = append(c.tried, target.ID())
		attempt := bfrecord.NewAttempt(id, member.Home, kind)
		end := c.attempt(ctx, attempt, member, chooser, target)
		if relayed, isRelayed := end.(relayed); isRelayed {
			c.earn()
			return relayed.answer
		}
		action := bfretry.Decide(c.classify(end), c.history(), c.entry.parts.Timer.Now(), c.budget(), rand.Uint64())
		retry, again := action.(bfretry.Retry)
		if !again || !c.pause(ctx, retry.After()) {
			return c.giveUp(end)
		}
		c.resent = true
		c.entry.retries.Add(1)
	}
}

func (c *call) pick(now time.Time) (*bfchoice.Chooser, *bfchoice.Target, bfdirectory.Member, bool) {
	chooser := c.entry.parts.Directory.Chooser(c.match.Service().Name)
	if chooser == nil {
		return nil, nil, bfdirectory.Member{}, false
	}
	target, found := chooser.Pick(now, c.tried)
	if !found {
		return nil, nil, bfdirectory.Member{}, false
	}
	member, found := c.entry.parts.Directory.Member(target.ID())
	return chooser, target, member, found
}

func (c *call) history() bfretry.Attempt {
	return bfretry.Attempt{
		Idempotent: c.policy().Idempotent, Deadline: c.deadline, Tried: c.tried, Resent: c.request.Resent,
	}
}

func (c *call) budget() *bfretry.Budget { return c.entry.budgets.Of(c.policy().Class) }

func (c *call) earn() {
	if !c.resent {
		c.budget().Earn(c.policy().RetryPercent, c.request.Depth)
	}
}

// pause waits before a retry; false means that the request ended first.
func (c *call) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return c.entry.parts.Timer.Wait(ctx, d) == nil
}

// sendMinted sends a request to the one incarnation that may run its key.
func (c *call) sendMinted(ctx context.Context) Result {
	key, err := bfrecord.ParseMintedKey(c.request.Key)
	if err != nil {
		return Invalid{Status: http.StatusBadRequest, Title: "Unreadable key", Err: err}
	}
	member, found := c.entry.parts.Directory.Member(key.Home().Instance)
	if !found || member.Home != key.Home() {
		// What that incarnation ran went with it.
		return Unknown{ID: key.ID()}
	}
	attempt := bfrecord.NewAttempt(key.ID(), key.Home(), bfrecord.KeyMinted)
	end := c.attempt(ctx, attempt, member, nil, nil)
	if relayed, isRelayed := end.(relayed); isRelayed {
		return relayed.answer
	}
	return c.giveUp(end)
}

// classify is the end as the retry policy sees it.
func (c *call) classify(end ended) bfretry.Outcome {
	switch end := end.(type) {
	case settled:
		notRun, proven := end.outcome.(bfrecord.NotRun)
		if !proven {
			return bfretry.Unknown{Final: end.final}
		}
		return bfretry.NotRun{Reason: retryReason(notRun.Reason()), RetryAfter: notRun.RetryAfter(), Final: end.final}
	case relayed:
		return bfretry.Failed{}
	}
	return bfretry.Unknown{Final: true}
}

func retryReason(reason bfrecord.Reason) bfretry.Reason {
	switch reason {
	case bfrecord.ReasonOverload, bfrecord.ReasonBookFull, bfrecord.ReasonTableAway:
		return bfretry.Overload
	case bfrecord.ReasonLeaving:
		return bfretry.Leaving
	}
	return bfretry.Unreached
}

// giveUp is the caller's final answer for an end that brought no answer of the target's.
func (c *call) giveUp(end ended) Result {
	settled, isSettled := end.(settled)
	if !isSettled {
		return Unknown{}
	}
	switch outcome := settled.outcome.(type) {
	case bfrecord.NotRun:
		return notRunResult(settled.id, outcome)
	case bfrecord.InProgress:
		return InProgress{ID: outcome.ID()}
	case bfrecord.Unknown:
		return Unknown{ID: outcome.ID()}
	case bfrecord.Done:
		_, dropped := outcome.Answer().(bfrecord.DroppedAnswer)
		return Unknown{ID: settled.id, Ran: dropped}
	}
	return Unknown{ID: settled.id}
}

func notRunResult(id bfrecord.ID, outcome bfrecord.NotRun) Result {
	if outcome.Reason() == bfrecord.ReasonMismatch {
		return Invalid{Status: http.StatusUnprocessableEntity, Title: "Key used with other content", Err: &MismatchError{ID: id}}
	}
	return NotRun{
		ID: id, Reason: outcome.Reason(),
		RetryAfter: outcome.RetryAfter(), EarlierMayHaveRun: outcome.EarlierMayHaveRun(),
	}
}

// MismatchError reports a key that was first used with other content.
type MismatchError struct{ ID bfrecord.ID }

// Error names the request.
func (e *MismatchError) Error() string {
	return "the idempotency key of request " + e.ID.String() + " was used with other content; this content was not run"
}
