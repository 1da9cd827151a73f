package bfentry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bfanswer"
	"bilberryflow.org/lib/bfbudget"
	"bilberryflow.org/lib/bfcredential"
	"bilberryflow.org/lib/bfexchange"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bfhedge"
	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfpacer"
	"bilberryflow.org/lib/bfprobe"
	"bilberryflow.org/lib/bfquarantine"
	"bilberryflow.org/lib/bfresource"
	"bilberryflow.org/lib/bfrollout"
	"bilberryflow.org/lib/bfroutestat"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
	"bilberryflow.org/lib/bfwalk"
)

// Config holds the dependencies of a Handler.
type Config struct {
	// Service is the service of this node's target, sent to other targets as the caller's service.
	Service string
	// Inbound is this node's inbound address, which identifies it in the fleet.
	Inbound string
	Names   bfheader.Names
	Traffic *bftraffic.Holder
	Fleet   *bffleet.Fleet
	Host    *bfhost.Host
	// Client sends requests to other nodes.
	Client *bfexchange.Client
	// Pacer limits the rate of the node's link and is shared by all its ports, nil for no limit.
	Pacer *bfpacer.Pacer
	// Spawn starts a goroutine in the node's group.
	Spawn func(name string, fn func(ctx context.Context) error)
	// OnMemberLost is called for a member that has been unreachable for bfprobe.RemoveAfter.
	OnMemberLost func(bffleet.Member)
	// Account is the node's share of the fleet's retry budgets.
	Account *bfbudget.Account
	// Quarantine holds the requests that crash targets; nil means empty.
	Quarantine *bfquarantine.Book
	// Rollouts holds the roll-outs of services; nil means none.
	Rollouts *bfrollout.Book
	// Freshness tells whether the configuration is fresh enough for decisions on API keys; nil means
	// always.
	Freshness Freshness
	// Quota limits the requests of workspaces; nil means no limits.
	Quota Quota
	// Hedging limits second copies of slow requests; its zero value allows none.
	Hedging bfhedge.Terms
	Timer   *bftimer.Service
	Logger  *bflog.Logger
	Metrics *bfmetric.Registry
}

// Handler serves callers' requests.
type Handler struct {
	config Config
	// sizes, latencies and runTimes are averages per route: bytes of a request and its
	// answer, nanoseconds from a send to its answer, and nanoseconds that targets run it.
	sizes, latencies, runTimes bfroutestat.Means
	// answers are the average lengths of the answers of each route, where they are stated.
	answers     bfroutestat.Means
	longAnswers bfroutestat.LongAnswers
	// incoming are the long answers that this node waits for.
	incoming bfpacer.Incoming
	// localAcceptRates and remoteAcceptRates are the acceptance rates of targets in this node's failure
	// domain and in other domains.
	localAcceptRates, remoteAcceptRates bfwalk.AcceptRates
	// shareRates are those of workspaces that were refused beyond their fair share.
	shareRates bfwalk.ShareRates
	// attempts are unserved requests that callers may retry.
	attempts bfroutestat.Attempts
	prober   *bfprobe.Prober
	// hedgeLatencies and hedgeBudget tell when and how often second copies are sent.
	hedgeLatencies bfhedge.Latencies
	hedgeBudget    bfhedge.Budget
	metrics        metrics
	// active is the number of requests in progress.
	active atomic.Int64
	// exitTime is the latest time at which a stopping node exits, nil while it runs; closed
	// is set once the node refuses all new requests.
	exitTime atomic.Pointer[time.Time]
	closed   atomic.Bool
}

// New makes the handler of the callers' port.
func New(config Config) *Handler {
	if config.Quarantine == nil {
		config.Quarantine = bfquarantine.New("")
	}
	return &Handler{
		config: config, metrics: newMetrics(config.Metrics),
		prober: bfprobe.New(bfprobe.Config{
			Fleet: config.Fleet, Client: config.Client, Timer: config.Timer, Logger: config.Logger, Spawn: config.Spawn, OnMemberLost: config.OnMemberLost,
		}),
	}
}

// Active is the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Leave starts a shutdown that ends at exitTime: answers close their connections, and
// requests that may run for longer than that are refused.
func (h *Handler) Leave(exitTime time.Time) { h.exitTime.Store(&exitTime) }

// Close refuses callers' requests from now on. Nested calls of requests that the local
// target still runs are accepted, since refusing them would fail their parents.
func (h *Handler) Close() { h.closed.Store(true) }

// MayRunConcurrently reports whether a request may run concurrently with others of its
// connection, which holds for idempotent ones. A download or another one with a long answer may not:
// one that is cut off closes the connection, and the answers queued behind it are lost.
func (h *Handler) MayRunConcurrently(r *http.Request) bool {
	traffic := h.config.Traffic.Current()
	if traffic == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := traffic.Match(r.Host, path)
	return route != nil && route.Kind() == bftraffic.Idempotent && !h.longAnswers.Has(route.Name(), h.config.Timer.Now())
}

// startingRetryAfter is the retry delay advertised by a node without a configuration: a
// starting node receives one within a few exchanges with the store.
const startingRetryAfter = 300 * time.Millisecond

// leavingRetryAfter is the retry delay advertised by a stopping node: other nodes accept
// the request, so it only covers the setup of a new connection.
const leavingRetryAfter = 20 * time.Millisecond

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.config.Timer.Now()
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.exitTime.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	key := bfcredential.Detach(r.Header)
	checker := h.checker()
	traffic := h.config.Traffic.Current()
	parent := h.config.Host.Parent(r.Header.Get(h.config.Names.RequestID))
	if traffic == nil || parent == nil && h.closed.Load() {
		refuse(w, startingRetryAfter)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := traffic.Match(r.Host, path)
	if route == nil {
		http.Error(w, "no route", http.StatusNotFound)
		return
	}
	id, refusal := h.identify(r, key, checker, traffic, route)
	if refusal != nil {
		refusal.Answer(w)
		return
	}
	c, err := h.newCall(r, route, parent, now)
	if c != nil {
		c.version = traffic.Version()
		c.setIdentity(id)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case bfresource.IsExhausted(err):
		refuse(w, bfresource.RetryAfter)
	case err != nil:
		// The body ended early: the caller disconnected.
		http.Error(w, "unreadable request: "+err.Error(), http.StatusBadRequest)
	case c.mayOutlastExit(now):
		refuse(w, leavingRetryAfter)
	default:
		h.serve(w, r, c)
	}
}

// mayOutlastExit reports whether the request may run past the exit of a stopping node. Such a
// request is refused at once, so that the caller retries at another node; accepted, it
// would be cut off at its target when the process exits.
func (c *call) mayOutlastExit(now time.Time) bool {
	exitTime := c.handler.exitTime.Load()
	return exitTime != nil && c.parent == nil && !bfwalk.LikelyInTime(exitTime.Sub(now), c.usualDuration())
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, c *call) {
	// A request whose caller disconnects leaves the queue of its target. One that is not repeatable is
	// finished once it was sent to the target: its node doesn't cancel it.
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if !h.admitQuota(ctx, w, c) {
		return
	}
	result := c.run(ctx)
	c.returnQuota(result)
	h.metrics.observe(c, result, h.config.Timer.Now())
	c.recordUnserved(result)
	switch result := result.(type) {
	case bfhost.Answered:
		defer result.Answer.Close()
		h.reportLate(c, result.Answer)
		h.sizes.Add(c.route.Name(), int64(len(c.request.Head)+len(result.Answer.Head)))
		h.answers.Add(c.route.Name(), max(result.Answer.Length, int64(len(result.Answer.Head))))
		bfheader.Strip(result.Answer.Header)
		h.longAnswers.Note(c.route.Name(), result.Answer.IsLong(), h.config.Timer.Now())
		if result.Answer.Rest != nil {
			// The target's slot is held until the answer has been read. Ports that can't bound that don't
			// serve callers.
			_ = http.NewResponseController(w).SetWriteDeadline(c.deadline.Add(lateReading))
		}
		// Callers are local and don't share the node's link, so their answers are not paced.
		bfanswer.Relay(w, r, result.Answer, nil)
	case bfhost.Refused:
		h.reportRefused(c, result)
		refuse(w, result.RetryAfter)
	case bfhost.Shed:
		h.report(bflog.RequestRefused, c, slog.String("reason", "shed by the target"), slog.Duration("come_back", result.RetryAfter))
		refuse(w, result.RetryAfter)
	case bfhost.Lost:
		h.report(bflog.RequestLost, c, slog.String("reason", result.Reason))
		w.WriteHeader(c.lostStatus())
	case bfhost.Expired:
		h.report(bflog.RequestExpired, c, slog.Bool("sent", result.Sent))
		c.expire(w, result)
	}
}

// lateReading is how long after the deadline of a request its caller may still read a long answer.
const lateReading = time.Second

// lostStatus is the status of a request without a complete answer. A body that exceeds the limit midway is
// the reason for that.
func (c *call) lostStatus() int {
	var tooLarge *http.MaxBytesError
	if c.request.Rest != nil && errors.As(c.request.Rest.Err(), &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadGateway
}

// expire answers a request whose deadline has passed. One that was never sent has not
// run: it is answered with 503, and with a retry delay if the caller has time left.
func (c *call) expire(w http.ResponseWriter, result bfhost.Expired) {
	if result.Sent {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	refuse(w, min(c.retryAfter(), c.callerDeadline.Sub(c.handler.config.Timer.Now())))
}

// refuse answers that the request has not run and when to retry.
func refuse(w http.ResponseWriter, after time.Duration) {
	refuseWith(w, http.StatusServiceUnavailable, after)
}

func refuseWith(w http.ResponseWriter, status int, after time.Duration) {
	bfheader.WriteRetryAfterSeconds(w.Header(), after)
	w.WriteHeader(status)
}

// newCall reads the request and makes its call.
func (h *Handler) newCall(r *http.Request, route *bftraffic.Route, parent *bfbudget.Run, now time.Time) (*call, error) {
	c := &call{
		handler: h, caller: r.Context(), route: route, service: route.PickService(), arrived: now,
		deadline: now.Add(route.Timeout()), callerDeadline: now.Add(route.Timeout()), parent: parent,
	}
	if left, err := strconv.ParseInt(r.Header.Get(h.config.Names.Deadline), 10, 64); err == nil && left > 0 {
		timeout := time.Duration(left) * time.Millisecond
		c.callerDeadline = now.Add(timeout)
		if c.callerDeadline.Before(c.deadline) {
			c.deadline = c.callerDeadline
		}
	}
	if parent == nil {
		c.usedBefore = h.attempts.Elapsed(route.Name(), c.callerDeadline, now)
	}
	request, err := bfhost.ReadRequest(r, h.config.Names.RequestID)
	if err != nil {
		return nil, err
	}
	bfheader.Strip(request.Header)
	request.Header[h.config.Names.CallerService] = []string{h.config.Service}
	c.request = request
	return c, nil
}

// reportRefused logs a refusal. For a quarantined request it logs the content hash,
// which matches the one in the crash logs.
func (h *Handler) reportRefused(c *call, result bfhost.Refused) {
	attributes := []slog.Attr{slog.String("reason", string(result.Reason)), slog.Duration("come_back", result.RetryAfter)}
	if c.narrowLink {
		attributes = append(attributes, slog.Bool("narrow_link", true))
	}
	if result.Reason == bfhost.Quarantined {
		attributes = append(attributes, slog.String("content", c.key().Content.String()))
	}
	h.report(bflog.RequestRefused, c, attributes...)
}

func (h *Handler) reportSuspended(target *bffleet.Target, result bfhost.Refused, length time.Duration) {
	attributes := []slog.Attr{
		slog.String("node", target.Member().Inbound), slog.String("service", target.Member().Service),
		slog.String("reason", string(result.Reason)), slog.Duration("for", length),
	}
	if result.Err != nil {
		attributes = append(attributes, bflog.Err(result.Err))
	}
	h.config.Logger.Emit(bflog.TargetExcluded, attributes...)
}

// reportLate logs an answer that missed its objective and where the time was spent.
func (h *Handler) reportLate(c *call, answer *bfanswer.Answer) {
	elapsed := h.config.Timer.Now().Sub(c.arrived)
	if elapsed+c.usedBefore <= c.route.Objective() {
		return
	}
	h.report(bflog.RequestLate, c, slog.Int("status", answer.Status), slog.Duration("objective", c.route.Objective()),
		slog.Duration("earlier_attempts", c.usedBefore), slog.Duration("last_sending", c.lastSendDuration),
		slog.Duration("slot_wait", answer.Spent.Wait), slog.Duration("at_target", answer.Spent.Run))
}

func (h *Handler) report(event bflog.Event, c *call, attributes ...slog.Attr) {
	h.config.Logger.Emit(event, append([]slog.Attr{
		slog.String("request", c.request.ID), slog.String("route", c.route.Name()), slog.String("service", c.service),
		slog.String("node", c.lastNode()), slog.Uint64("version", uint64(c.version)), slog.Int("members", h.config.Fleet.Size()),
		slog.Int("sent", c.sent), slog.Bool("nested", c.parent != nil), slog.Int("asked", len(c.tried)),
		slog.Duration("after", h.config.Timer.Now().Sub(c.arrived)),
		slog.Duration("left", c.deadline.Sub(h.config.Timer.Now())),
	}, attributes...)...)
}
