package bfcontrol

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmetric"
	"bilberryflow.org/lib/bfstore"
	"bilberryflow.org/lib/bftimer"
)

// staleAfter is how long a node goes without contact before it logs that its configuration may be stale.
const staleAfter = 30 * time.Second

// sourceStatus tracks whether the configuration's sources, the table and the members, can be reached.
type sourceStatus struct {
	// tableUnavailable is whether the last table read failed; it last changed at tableChanged.
	tableUnavailable atomic.Bool
	tableChanged     time.Time
	stale            bool
	// lastContactMicros is when the table or a member last responded, in microseconds since the Unix epoch.
	lastContactMicros atomic.Int64
	lastContact       time.Time
}

func (s *sourceStatus) registerGauges(timer *bftimer.Service, metrics *bfmetric.Registry) {
	metrics.Gauge("table_away", func() int64 {
		if s.tableUnavailable.Load() {
			return 1
		}
		return 0
	})
	metrics.Gauge("config_age_us", func() int64 {
		if at := s.lastContactMicros.Load(); at > 0 {
			return max(0, timer.Now().UnixMicro()-at)
		}
		return 0
	})
}

func (s *sourceStatus) recordContact(now time.Time) {
	s.lastContact = now
	s.lastContactMicros.Store(now.UnixMicro())
}

// recordContact records a response of the table or a message from a member.
func (c *Control) recordContact(now time.Time) {
	c.source.recordContact(now)
	if c.source.stale {
		c.source.stale = false
		c.config.Logger.Emit(bflog.ConfigurationCurrent)
	}
}

// checkAge logs, once per isolation, that the configuration may be stale.
func (c *Control) checkAge(now time.Time) {
	if age := now.Sub(c.source.lastContact); !c.source.stale && age >= staleAfter {
		c.source.stale = true
		c.config.Logger.Emit(bflog.ConfigurationStale, slog.Duration("age", age))
	}
}

// recordTableRead records the result of a table read that started at began, and logs changes of availability.
//
// Reads can complete out of order. The result of a read that started before the
// last change is outdated and is ignored, or the log would repeat transitions.
func (c *Control) recordTableRead(now, began time.Time, err error) {
	var unavailableErr *bfstore.UnavailableError
	unavailable := errors.As(err, &unavailableErr)
	if !unavailable {
		c.recordContact(now)
	}
	if unavailable == c.source.tableUnavailable.Load() || began.Before(c.source.tableChanged) {
		return
	}
	c.source.tableUnavailable.Store(unavailable)
	c.source.tableChanged = now
	if unavailable {
		c.config.Logger.Emit(bflog.TableUnavailable, bflog.Err(err))
		return
	}
	c.config.Logger.Emit(bflog.TableAvailable)
}
