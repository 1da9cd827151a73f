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

// removeLostMember removes the row of an unreachable member, so that other nodes stop
// dialing it; the first node to write does it for all. A node whose state isn't up to
// date with the store removes nothing: it may itself be the one that is partitioned.
func (n *node) removeLostMember(member bffleet.Member) {
	if n.state.DropUnwritten(member) {
		n.logger.Emit(bflog.RowRemoved, slog.String("member", member.Inbound))
		return
	}
	if !n.current() || member.Revision == 0 {
		return
	}
	n.group.Go("forget a member", func(ctx context.Context) error {
		n.removeRow(ctx, member)
		return nil
	})
}

func (n *node) removeRow(ctx context.Context, member bffleet.Member) {
	write := bfstore.RowWrite{Key: member.Inbound, Remove: true, Revision: member.Revision}
	_, err := n.writeBatched(ctx, write)
	var batchErr *bfbatch.BatchError
	if errors.As(err, &batchErr) {
		_, err = n.store.Write(ctx, membersTable, write)
	}
	var conflict *bfstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		// Another node removed the row first, or the member has rewritten it.
	case err != nil:
		n.logger.Emit(bflog.AnnounceError, slog.String("member", member.Inbound), bflog.Err(err))
	default:
		n.logger.Emit(bflog.RowRemoved, slog.String("member", member.Inbound))
	}
}
