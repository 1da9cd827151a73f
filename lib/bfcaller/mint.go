package bfcaller

import (
	"context"
	"net/http"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroute"
)

// MintedKey is the response body at MintPath.
type MintedKey struct {
	Key string `json:"key"`
}

// Mint returns a key for a later request with method and path; refused is nil on success.
func (e *Entry) Mint(ctx context.Context, method, path string) (key string, refused Result) {
	now := e.config.Timer.Now()
	view := e.config.View()
	if view == nil {
		return "", NotRun{Reason: reasonStarting, RetryAfter: addJitter(startingRetryAfter)}
	}
	clean, err := bfroute.CleanPath(path)
	if err != nil {
		return "", Invalid{Status: http.StatusBadRequest, Title: "Unacceptable path", Err: err}
	}
	match, err := view.Match(method, clean)
	if err != nil {
		return "", invalidMatch(err)
	}
	c := &call{entry: e, match: match}
	chooser, target, member, found := c.pick(now)
	if target != nil {
		releasePick(now, chooser, target)
	}
	if !found {
		return "", NotRun{Reason: reasonNoTarget, RetryAfter: addJitter(noTargetRetryAfter)}
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	key, err = e.config.Resolver.Mint(ctx, member.Peer)
	if err != nil {
		return "", NotRun{Reason: bfrecord.ReasonUnreachable, RetryAfter: addJitter(noTargetRetryAfter)}
	}
	return key, nil
}
