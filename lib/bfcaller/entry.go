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

// Resolver queries target nodes for the outcomes of requests.
type Resolver interface {
	// Resolve returns the state of a request at the node whose peer port is at address.
	Resolve(ctx context.Context, address string, request bfrecord.ResolveRequest) (bfrecord.ResolveReply, error)
	// Mint returns an idempotency key that only the current incarnation of that node accepts.
	Mint(ctx context.Context, address string) (string, error)
}

// Config holds the dependencies of an Entry.
type Config struct {
	// View returns the current view, or nil before the node has one.
	View      func() *bfroute.View
	Directory *bfdirectory.Directory
	Client    *bfforward.Client
	Resolver  Resolver
	Minter    *bfrecord.Minter
	Timer     *bftimer.Service
	Metrics   *bfmetric.Registry
	// Quarantine lists the requests that crash targets; nil means none.
	Quarantine *bfquarantine.Book
	// Spawn starts a goroutine that the node waits for on shutdown.
	Spawn func(name string, fn func(ctx context.Context) error)
}

// Entry routes callers' requests to targets and determines their results.
type Entry struct {
	config  Config
	budgets bfretry.Budgets
	metrics metrics
}

// New returns an Entry.
func New(config Config) *Entry {
	if config.Quarantine == nil {
		config.Quarantine = bfquarantine.New("")
	}
	return &Entry{config: config, metrics: newMetrics(config.Metrics)}
}

const (
	// noTargetRetryAfter is the retry delay returned while a service has no usable target;
	// the membership of a newly started target propagates within about that time.
	noTargetRetryAfter = time.Second
	// startingRetryAfter is the retry delay returned while the node has no configuration.
	startingRetryAfter = time.Second
)

// Reasons for which an entry node forwards a request to no target.
const (
	reasonStarting bfrecord.Reason = "starting"
	reasonNoTarget bfrecord.Reason = "no target"
)

// call is the state of one caller's request.
type call struct {
	entry    *Entry
	request  Request
	match    bfroute.Match
	decision bfevent.Decision
	deadline time.Time
	// shortDeadline is set when the caller's deadline is shorter than the policy's.
	shortDeadline bool
	// tried lists the IDs of the targets of earlier attempts.
	tried []string
	// resent is set once the request is a retry, of this node or of one before it.
	resent bool
}

// Run routes and executes the request and returns its result.
func (e *Entry) Run(ctx context.Context, request Request) Result {
	now := e.config.Timer.Now()
	view := e.config.View()
	if view == nil {
		return NotRun{ID: e.config.Minter.Next(now), Reason: reasonStarting, RetryAfter: addJitter(startingRetryAfter)}
	}
	match, err := view.Match(request.Method, request.Path)
	if err != nil {
		return invalidMatch(err)
	}
	decision, found := view.Events().InForce(match.Route().Name, now)
	if !found {
		// A view's routes and its schedule are built from the same configuration state.
		return Invalid{Status: http.StatusInternalServerError, Title: "Inconsistent view", Err: &bfroute.NoRouteError{Path: request.Path}}
	}
	c := &call{entry: e, request: request, match: match, decision: decision, resent: request.Resent}
	timeLeft := decision.Policy().Deadline
	if request.TimeLeft > 0 && request.TimeLeft < timeLeft {
		timeLeft, c.shortDeadline = request.TimeLeft, true
	}
	c.deadline = now.Add(timeLeft)
	result := c.runWithDeadline(ctx)
	e.metrics.observe(result, c.policy().Class, request.Tenant, e.config.Timer.Now().Sub(now))
	return result
}

// runWithDeadline runs the call under its deadline, including a response that is streamed.
func (c *call) runWithDeadline(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	result := c.run(ctx)
	if relayed, isRelayed := result.(Relayed); isRelayed && relayed.Rest != nil {
		relayed.Rest = &closeHook{ReadCloser: relayed.Rest, onClose: cancel}
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

// run selects the at-most-once mechanism by the request's key and policy.
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

// KeyPolicyError reports a caller-chosen idempotency key on a route that accepts only minted keys.
type KeyPolicyError struct{ Route string }

// Error names the route and how to get a key.
func (e *KeyPolicyError) Error() string {
	return "route " + e.Route + " takes no callers' own idempotency keys; get one by POST " + MintPath + "?method=METHOD&path=PATH"
}

// pick selects a target that this call has not tried, with its chooser and member. The
// last result is false if there is none, or if its member has left or changed service.
func (c *call) pick(now time.Time) (*bfchoice.Chooser, *bfchoice.Target, bfdirectory.Member, bool) {
	service := c.match.Service().Name
	chooser := c.entry.config.Directory.Chooser(service)
	if chooser == nil {
		return nil, nil, bfdirectory.Member{}, false
	}
	target, found := chooser.Pick(now, c.tried)
	if !found {
		return nil, nil, bfdirectory.Member{}, false
	}
	member, found := c.entry.config.Directory.Member(target.ID())
	// The chooser and the member are read separately: in between, the instance may
	// have been replaced by one with a target of another service.
	return chooser, target, member, found && member.Service == service
}

// pause waits before a retry and reports whether the request is still active.
func (c *call) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return c.entry.config.Timer.Wait(ctx, d) == nil
}
