package bfmesh

import (
	"context"
	"errors"
	"log/slog"

	"bilberryflow.org/lib/bfbatch"
	"bilberryflow.org/lib/bffleet"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
)

// forget removes the row of a member that is out of reach, so that nobody goes on
// looking for a machine that is gone. Whoever is first does it for all. A node whose
// members do not follow the store is itself the one that may be cut off.
func (n *node) forget(member bffleet.Member) {
	if !n.current() || member.Revision == 0 {
		return
	}
	n.group.Go("forget a member", func(ctx context.Context) error {
		n.remove(ctx, member)
		return nil
	})
}

func (n *node) remove(ctx context.Context, member bffleet.Member) {
	write := bfstore.RowWrite{Key: member.Inbound, Remove: true, Revision: member.Revision}
	_, err := n.writeTogether(ctx, write)
	var notMade *bfbatch.BatchError
	if errors.As(err, &notMade) {
		_, err = n.store.Write(ctx, membersTable, write)
	}
	var conflict *bfstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another node was first, or the member has written its row again.
	case err != nil:
		n.logger.Emit(bflog.AnnounceError, slog.String("member", member.Inbound), bflog.Err(err))
	default:
		n.logger.Emit(bflog.RowRemoved, slog.String("member", member.Inbound))
	}
}
