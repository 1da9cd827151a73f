package bfmesh

import (
	"log/slog"

	"bilberryflow.org/lib/bfhost"
	"bilberryflow.org/lib/bflog"
)

// healthPath returns the path at which the target answers whether it accepts requests, "" while the configuration
// is not known.
func (n *node) healthPath() string {
	if traffic := n.traffic.Current(); traffic != nil {
		return traffic.HealthPath(n.common.Service)
	}
	return ""
}

// logVerification logs what the target answered when it was asked whether it accepts requests.
func (n *node) logVerification(v bfhost.Verification) {
	n.logger.Emit(bflog.TargetVerified, slog.String("incarnation", v.Incarnation), slog.Bool("accepting", v.Accepting), slog.Int("status", v.Status))
}
