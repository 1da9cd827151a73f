package bfidentity

import (
	"errors"
	"log/slog"
	"net/http"
	"strings"

	"bilberryflow.org/lib/bfcredential"
	"bilberryflow.org/lib/bfheader"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bftimer"
	"bilberryflow.org/lib/bftraffic"
)

// Freshness tells how recently the configuration in force was proved to be the newest. Both answers must
// be obtained before the configuration is read for the same request: in the reverse order a key of an
// old version could be honoured, or a new one refused, with the proof of a newer version.
type Freshness interface {
	// HonoursKeys reports whether API keys of the configuration in force may be honoured: none of
	// them was removed longer ago than allowed.
	HonoursKeys() bool
	// KnowsKeys reports whether the configuration is recent enough that an unknown API key is invalid
	// and not new.
	KnowsKeys() bool
}

// Observe returns the freshness as it is now, for the check of one request.
func Observe(f Freshness) Freshness {
	if f == nil {
		return nil
	}
	return observed{honours: f.HonoursKeys(), knows: f.KnowsKeys()}
}

// observed is a freshness as it was observed.
type observed struct{ honours, knows bool }

func (o observed) HonoursKeys() bool { return o.honours }

func (o observed) KnowsKeys() bool { return o.knows }

// Checker identifies requests.
type Checker struct {
	Names bfheader.Names
	// Freshness is that of the configuration in force; nil means always recent.
	Freshness Freshness
	Logger    *bflog.Logger
	Metrics   *bfmetric.Registry
	// Lines bounds the lines that refusals log, by the time of Timer; nil for no bound.
	Lines *bflog.LineLimit
	Timer *bftimer.Service
}

// Identity is what a request's API key, or the run that made it, says about its workspace.
type Identity struct {
	// Workspace is nil if the request has none; Keyed is set if it holds the request's own key.
	Workspace *bftraffic.Workspace
	Keyed     bool
	// required is set if the configuration requires keys; otherwise requests are left unchanged.
	required bool
}

// Identify determines the workspace of a request from the key that was detached from it. For a nested
// call, parent is the name of the workspace of the run that made it, "" for none. Identify returns a refusal
// if the request needs a key and has no valid one, or if the configuration may be outdated.
//
// A nested call carries no key and is refused like any request if its route needs one: its ID
// doesn't prove that it is nested, since a local caller may choose the ID of a running request.
func (c Checker) Identify(r *http.Request, key bfcredential.Detached, traffic *bftraffic.Snapshot, route *bftraffic.Route, parent string) (Identity, *Refusal) {
	if !traffic.KeysRequired() {
		key.Restore(r.Header)
		return Identity{}, nil
	}
	digest, err := key.Read()
	var workspace *bftraffic.Workspace
	if err == nil {
		workspace = traffic.WorkspaceOf(digest)
	}
	switch {
	case workspace != nil && c.honoursKeys():
		return Identity{Workspace: workspace, Keyed: true, required: true}, nil
	case route.Public():
		return Identity{Workspace: traffic.Workspace(parent), required: true}, nil
	}
	reason := Unknown
	var wrong *bfcredential.Error
	switch {
	case errors.As(err, &wrong):
		reason = Reason(wrong.Kind)
	case workspace != nil:
		reason = Unproven
	}
	refusal := c.refuse(reason)
	c.report(refusal, digest, slog.String("request", r.Header.Get(c.Names.RequestID)),
		slog.String("route", route.Name()), slog.Uint64("version", uint64(traffic.Version())))
	return Identity{}, refusal
}

// Write sets or removes the header that names the workspace to the target. It must be called after the
// headers that Connection lists have been removed.
func (i Identity) Write(h http.Header, names bfheader.Names) {
	if !i.required || names.Workspace == "" {
		return
	}
	bfheader.RemoveLike(h, names.Workspace)
	if i.Keyed {
		h[http.CanonicalHeaderKey(names.Workspace)] = []string{i.Workspace.Name()}
	}
}

// RejectHeader returns the handler of requests that can't be read since the header of this name
// contains control characters, nil if they are invalid for a reason other than their API key. The
// rest of such a request is unknown, so its route may be public.
func (c Checker) RejectHeader(name string, traffic *bftraffic.Snapshot) http.Handler {
	if traffic == nil || !traffic.KeysRequired() || !strings.EqualFold(name, bfcredential.Header) {
		return nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		refusal := c.refuse(Reason(bfcredential.Malformed))
		c.report(refusal, bftraffic.KeyDigest{}, slog.Uint64("version", uint64(traffic.Version())))
		refusal.Answer(w)
	})
}

func (c Checker) honoursKeys() bool { return c.Freshness == nil || c.Freshness.HonoursKeys() }

// refuse returns a final refusal if the configuration is recent enough. Otherwise the key may
// exist in a newer version, or the route be public, and the request is to be repeated; callers don't
// repeat one after a 401.
func (c Checker) refuse(reason Reason) *Refusal {
	return &Refusal{reason: reason, final: c.honoursKeys() && (c.Freshness == nil || c.Freshness.KnowsKeys())}
}

// report counts a refusal and logs it, unless there are too many, with a fingerprint of the key if there
// is one.
func (c Checker) report(refusal *Refusal, digest bftraffic.KeyDigest, attributes ...slog.Attr) {
	c.Metrics.Counter(refusal.counter()).Add(1)
	if c.Lines != nil {
		omitted, ok := c.Lines.Next(c.Timer.Now())
		if !ok {
			return
		}
		attributes = append(attributes, slog.Int("omitted", omitted))
	}
	attributes = append(attributes, slog.Int("status", refusal.status()), slog.String("reason", string(refusal.reason)))
	if digest != (bftraffic.KeyDigest{}) {
		attributes = append(attributes, slog.String("fingerprint", digest.Fingerprint()))
	}
	c.Logger.Emit(bflog.KeyRefused, attributes...)
}
