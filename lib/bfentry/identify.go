package bfentry

import (
	"net/http"

	"bilberryflow.org/lib/bfcredential"
	"bilberryflow.org/lib/bfidentity"
	"bilberryflow.org/lib/bftraffic"
)

// identify determines the workspace of a request from the key that was detached from it.
func (h *Handler) identify(r *http.Request, key bfcredential.Detached, checker bfidentity.Checker, traffic *bftraffic.Snapshot, route *bftraffic.Route) (bfidentity.Identity, *bfidentity.Refusal) {
	parent := h.config.Host.ParentWorkspace(r.Header.Get(h.config.Names.RequestID))
	return checker.Identify(r, key, traffic, route, parent)
}

// RejectHeader returns the handler of requests that can't be read since the header of this name
// contains control characters, nil for those that are no matter of API keys.
func (h *Handler) RejectHeader(name string) http.Handler {
	checker := h.checker()
	return checker.RejectHeader(name, h.config.Traffic.Current())
}

// checker returns what checks the API key of one request. It must be called before the configuration is
// read for that request.
func (h *Handler) checker() bfidentity.Checker {
	return bfidentity.Checker{Names: h.config.Names, Freshness: bfidentity.Observe(h.config.Freshness), Logger: h.config.Logger, Metrics: h.config.Metrics, Lines: &h.keyLines, Timer: h.config.Timer}
}

// setIdentity sets the workspace of the call and the header that names it to the target.
func (c *call) setIdentity(identity bfidentity.Identity) {
	c.workspace, c.keyed = identity.Workspace, identity.Keyed
	identity.Write(c.request.Header, c.handler.config.Names)
}
