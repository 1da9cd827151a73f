package bfcaller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfdirectory"
	"bilberryflow.org/lib/bfevent"
	"bilberryflow.org/lib/bfforward"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfquarantine"
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
	// Quarantine holds the requests under which targets end; nil is an empty one.
	Quarantine *bfquarantine.Book
	// Spawn starts a goroutine of the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Entry runs callers' requests.
type Entry struct {
	parts   Parts
	budgets bfretry.Budgets
	metrics metrics
}

// New makes an entry.
func New(parts Parts) *Entry {
	if parts.Quarantine == nil {
		parts.Quarantine = bfquarantine.New("")
	}
	return &Entry{parts: parts, metrics: newMetrics(parts.Metrics)}
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
	// hurried says that the caller gave less time than the policy.
	hurried bool
	tried   []string
	// resent is set for the second and later sendings, here or at a node above.
	resent bool
}

// Run takes the request to its end.
func (e *Entry) Run(ctx context.Context, request Request) Result {
	now := e.parts.Timer.Now()
	view := e.parts.View()
	if view == nil {
		return NotRun{ID: e.parts.Minter.Next(now), Reason: reasonStarting, RetryAfter: later(startingPause)}
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
	if request.Left > 0 && request.Left < left {
		left, c.hurried = request.Left, true
	}
	c.deadline = now.Add(left)
	result := c.runUntil(ctx)
	e.metrics.observe(result, c.policy().Class, request.Tenant, e.parts.Timer.Now().Sub(now))
	return result
}

// runUntil bounds the call by its deadline, an answer that streams included.
func (c *call) runUntil(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	result := c.run(ctx)
	if relayed, streams := result.(Relayed); streams && relayed.Rest != nil {
		relayed.Rest = &closer{ReadCloser: relayed.Rest, then: cancel}
		return relayed
	}
	cancel()
	return result
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

func (c *call) pick(now time.Time) (*bfchoice.Chooser, *bfchoice.Target, bfdirectory.Member, bool) {
	service := c.match.Service().Name
	chooser := c.entry.parts.Directory.Chooser(service)
	if chooser == nil {
		return nil, nil, bfdirectory.Member{}, false
	}
	target, found := chooser.Pick(now, c.tried)
	if !found {
		return nil, nil, bfdirectory.Member{}, false
	}
	member, found := c.entry.parts.Directory.Member(target.ID())
	// The chooser and the members are read one after the other: the instance may
	// have been replaced in between by one with a target of another service.
	return chooser, target, member, found && member.Service == service
}

// pause waits before a retry; false means that the request ended first.
func (c *call) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return c.entry.parts.Timer.Wait(ctx, d) == nil
}
