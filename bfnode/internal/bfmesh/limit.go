package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
)

// limitChanged logs a change of the limit that the target names.
func (n *node) limitChanged(change bfhost.LimitChange) {
	incarnation := slog.String("incarnation", change.Incarnation)
	if change.Err != nil {
		n.logger.Emit(bflog.TargetLimitRefused, incarnation, bflog.Err(change.Err))
		return
	}
	n.logger.Emit(bflog.TargetLimitChanged, incarnation, slog.String("limit", change.Limit.String()))
}
