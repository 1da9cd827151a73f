package bfcaller

import (
	"context"
	"net/http"

	"bilberryflow.org/lib/bfrecord"
	"bilberryflow.org/lib/bfroute"
)

// MintedKey is the answer at MintPath.
type MintedKey struct {
	Key string `json:"key"`
}

// Mint gets a key for a later request by method and path; refused is nil if it got one.
func (e *Entry) Mint(ctx context.Context, method, path string) (key string, refused Result) {
	now := e.parts.Timer.Now()
	view := e.parts.View()
	if view == nil {
		return "", NotRun{Reason: reasonStarting, RetryAfter: later(startingPause)}
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
		unpick(now, chooser, target)
	}
	if !found {
		return "", NotRun{Reason: reasonNoTarget, RetryAfter: later(noTargetPause)}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	key, err = e.parts.Resolver.Mint(ctx, member.Peer)
	if err != nil {
		return "", NotRun{Reason: bfrecord.ReasonUnreachable, RetryAfter: later(noTargetPause)}
	}
	return key, nil
}
