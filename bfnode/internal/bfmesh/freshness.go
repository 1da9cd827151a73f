package bfmesh

import (
	"log/slog"
	"time"

	"bilberryflow.org/lib/bffollow"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfproof"
	"bilberryflow.org/lib/bftimer"
)

// freshnessInterval is how often the node checks for its log whether it honours API keys.
const freshnessInterval = 200 * time.Millisecond

// freshness decides whether the node honours API keys; it implements bfentry.Freshness.
type freshness struct {
	// proof is nil unless revocation is strict.
	proof *bfproof.Proof
	// clock counts suspensions of the machine.
	clock func() time.Duration
	// current reports whether the node's state follows the store.
	current func() bool
	logger  *bflog.Logger
	// honoured is the last logged state; only the timer's goroutine uses it.
	honoured bool
}

// newFreshness returns the freshness of a node that starts now.
func newFreshness(settings *Revocation, clock func() time.Duration, current func() bool, logger *bflog.Logger) *freshness {
	f := &freshness{clock: clock, current: current, logger: logger}
	if settings != nil && settings.Strict {
		f.proof = bfproof.New(settings.Within.Std())
	}
	return f
}

// HonoursKeys implements bfentry.Freshness. It must be called before the version in force is read, see
// bfproof.
func (f *freshness) HonoursKeys() bool { return f.proof == nil || f.proof.HonoursKeys(f.clock()) }

// KnowsKeys implements bfentry.Freshness, with the same condition.
func (f *freshness) KnowsKeys() bool {
	if f.proof == nil {
		return f.current()
	}
	return f.proof.KnowsKeys(f.clock())
}

// watch publishes the proof's metrics and logs when the node stops and resumes honouring keys.
func (f *freshness) watch(timer *bftimer.Service, metrics *bfmetric.Registry) {
	if f.proof == nil {
		return
	}
	metrics.Gauge("proof_age_ms", f.ageMs)
	for _, source := range bfproof.Sources() {
		metrics.Gauge("proofs_"+source.String(), func() int64 { return f.proof.Count(source) })
	}
	timer.Every(func() time.Duration { return freshnessInterval }, func(time.Time) { f.report() })
}

func (f *freshness) ageMs() int64 {
	start, ok := f.proof.Start()
	if !ok {
		return -1
	}
	return (f.clock() - start).Milliseconds()
}

func (f *freshness) report() {
	honours := f.HonoursKeys()
	if honours == f.honoured {
		return
	}
	f.honoured = honours
	event := bflog.KeysRefused
	if honours {
		event = bflog.KeysHonoured
	}
	f.logger.Emit(event, slog.Int64("proof_age_ms", f.ageMs()))
}

// proved returns the function that takes the proofs of reads of the configuration, nil where there are
// none.
//
// A configuration that this node refused as invalid counts as read, and the version in force stays
// proved: it stays in force, and an invalid configuration removes no key. In the other case one
// mistake of an operator would make all nodes refuse all requests with keys. If another node has a newer
// version in force, the read proves nothing: that node may be of a later release, to which the
// configuration is valid.
func (f *freshness) proved(peers func() peerVersions, renewed func()) func(bffollow.Read) {
	if f.proof == nil {
		return nil
	}
	return func(read bffollow.Read) {
		proof := bfproof.Read{Began: read.Began, Feed: read.Feed, Era: read.Era, Settled: peers().IsSettled()}
		if !peers().KnowsNewerVersion() && f.proof.TakeRead(f.clock(), proof) {
			renewed()
		}
	}
}

// peerVersions tells what the node knows of the versions of others; *bfnews.Exchange implements it.
type peerVersions interface {
	IsSettled() bool
	KnowsNewerVersion() bool
}
