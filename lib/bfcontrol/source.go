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

// agedAfter is how long a node hears from nobody before it says that it is cut off.
const agedAfter = 30 * time.Second

// source is what a node knows of the way to the source of configuration.
type source struct {
	// away is whether the table failed to answer last, changed since when.
	away    atomic.Bool
	changed time.Time
	aged    bool
	// contact is when the table or a member was last heard, in microseconds since 1970.
	contact atomic.Int64
	last    time.Time
}

func (s *source) publish(timer *bftimer.Service, metrics *bfmetric.Registry) {
	metrics.Gauge("table_away", func() int64 {
		if s.away.Load() {
			return 1
		}
		return 0
	})
	metrics.Gauge("config_age_us", func() int64 {
		if at := s.contact.Load(); at > 0 {
			return max(0, timer.Now().UnixMicro()-at)
		}
		return 0
	})
}

func (s *source) begin(now time.Time) {
	s.last = now
	s.contact.Store(now.UnixMicro())
}

// contact notes that the table or a member was heard.
func (c *Control) contact(now time.Time) {
	c.source.begin(now)
	if c.source.aged {
		c.source.aged = false
		c.parts.Logger.Emit(bflog.ConfigurationCurrent)
	}
}

// checkAge says once that the node is cut off.
func (c *Control) checkAge(now time.Time) {
	if age := now.Sub(c.source.last); !c.source.aged && age >= agedAfter {
		c.source.aged = true
		c.parts.Logger.Emit(bflog.ConfigurationAged, slog.Duration("age", age))
	}
}

// tableAnswered takes how a read ended that began at began, and logs a change.
//
// Reads overtake each other. One that began before the last change and ends
// after it tells of the time before, and would make the log say twice what
// happened once.
func (c *Control) tableAnswered(now, began time.Time, err error) {
	var unavailable *bfstore.UnavailableError
	away := errors.As(err, &unavailable)
	if !away {
		c.contact(now)
	}
	if away == c.source.away.Load() || began.Before(c.source.changed) {
		return
	}
	c.source.away.Store(away)
	c.source.changed = now
	if away {
		c.parts.Logger.Emit(bflog.TableUnavailable, bflog.Err(err))
		return
	}
	c.parts.Logger.Emit(bflog.TableAvailable)
}
