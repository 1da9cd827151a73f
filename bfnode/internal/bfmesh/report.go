package bfmesh

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"bilberryflow.org/lib/bflifecycle"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/platform/bfdialect"
)

// reports returns the handler of the target's reports.
func (n *node) reports() http.Handler {
	return bfdialect.ReportHandler{OnHeartbeat: n.handleHeartbeat, OnDeparture: n.handleDeparture, OnInvalid: n.logRefusedReport}
}

// maxRecordWait is how long a report waits until it is recorded. Targets wait for a second and then
// repeat it.
const maxRecordWait = 900 * time.Millisecond

// handleHeartbeat applies a heartbeat of a target. The error of one that says draining is that it is not
// recorded yet: it must not be acknowledged, as it binds later processes too.
func (n *node) handleHeartbeat(ctx context.Context, heartbeat bflifecycle.Heartbeat) error {
	n.host.HandleHeartbeat(heartbeat)
	if heartbeat.State != bflifecycle.Draining {
		return nil
	}
	return n.awaitRecord(ctx, heartbeat.Incarnation)
}

// handleDeparture applies the departure of a target; its error is that of handleHeartbeat.
func (n *node) handleDeparture(ctx context.Context, departure bflifecycle.Departure) error {
	n.logger.Emit(bflog.DepartureReported, slog.String("incarnation", departure.Incarnation))
	n.host.HandleDeparture(departure)
	return n.awaitRecord(ctx, departure.Incarnation)
}

// awaitRecord waits until the departures reported so far are recorded, and checks that the last one has its
// effect: an acknowledgement binds.
func (n *node) awaitRecord(ctx context.Context, incarnation string) error {
	if err := n.host.CheckDeparture(incarnation); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, maxRecordWait)
	defer cancel()
	return n.departures.Await(ctx)
}

// logInvalidFrame logs why a connection from another node was closed.
func (n *node) logInvalidFrame(err error) { n.logger.Emit(bflog.FrameInvalid, bflog.Err(err)) }

// logIgnoredHeartbeat logs a heartbeat that says ready and was ignored. Draining targets repeat theirs.
func (n *node) logIgnoredHeartbeat(heartbeat bflifecycle.Heartbeat, reason bflifecycle.Rejection) {
	if heartbeat.State == bflifecycle.Ready {
		n.logger.Emit(bflog.HeartbeatIgnored, slog.String("incarnation", heartbeat.Incarnation),
			slog.Int64("sequence", heartbeat.Sequence), slog.String("reason", string(reason)))
	}
}

// logRefusedReport logs a report that is not a valid report of a target.
func (n *node) logRefusedReport(incarnation string, err error) {
	n.logger.Emit(bflog.ReportRefused, slog.String("incarnation", incarnation), bflog.Err(err))
}
