package bffleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bflimit"
)

// known is a limit of a member's start.
func known(m Member) bflimit.Known {
	return bflimit.Known{Start: bflimit.Start{Incarnation: m.Incarnation, Started: m.Started()}, Limit: bflimit.PerSecond(4)}
}

// Guards against forgetting the limit of a target while its node removes and writes its row, and
// against a limit that is taken for that of the target's next start.
func TestLimitOutlivesTheRow(t *testing.T) {
	is := is.New(t)
	f := New(Place{Domain: "nord"})
	m := member(1, "nord")
	m.Incarnation, m.StartedMilli, m.Revision = "i", 7, 1
	target := func() *Target { return f.view.Load().members[m.Inbound] }
	f.Replace([]Member{m})
	is.Equal(target().Limit().Limit, nil)
	target().ReportLimit(known(m))
	f.Change(nil, []string{m.Inbound})
	m.Revision = 2
	f.Change([]Member{m}, nil)
	is.Equal(target().Limit().Limit, bflimit.PerSecond(4))
	earlier := known(m)
	m.StartedMilli = 8
	f.Change([]Member{m}, nil)
	is.Equal(target().Limit().Limit, nil)
	target().ReportLimit(earlier)
	is.Equal(target().Limit().Limit, nil)
	target().ReportLimit(known(m))
	target().ReportLimit(bflimit.Known{})
	is.Equal(target().Limit().Limit, nil)
}

// Guards against memory that grows with every target that ever was.
func TestFormerStartsAreBounded(t *testing.T) {
	is := is.New(t)
	f := New(Place{Domain: "nord"})
	m := member(1, "nord")
	m.Incarnation = "i"
	for started := range int64(3 * maxFormerStarts) {
		m.StartedMilli = started
		f.Replace([]Member{m})
	}
	is.True(len(f.starts) <= maxFormerStarts+1)
}

// Guards against sending requests again to a target that has said that it leaves, when its node writes
// its row again, and against keeping them from its next start.
func TestLeavingOutlivesTheRow(t *testing.T) {
	is := is.New(t)
	f := New(Place{Domain: "nord"})
	m := member(1, "nord")
	m.Incarnation, m.StartedMilli, m.Revision = "i", 7, 1
	picked := func() bool {
		return f.Pick(Demand{Service: m.Service}, time.Now(), nil).Target() != nil
	}
	f.Replace([]Member{m})
	f.view.Load().members[m.Inbound].ReportLeaving(bflimit.Start{Incarnation: "i", Started: time.UnixMilli(6)}) // an earlier start
	is.True(picked())
	f.view.Load().members[m.Inbound].ReportLeaving(bflimit.Start{Incarnation: "i", Started: time.UnixMilli(7)})
	is.True(!picked())
	f.Replace(nil)
	m.Revision = 2
	f.Replace([]Member{m})
	is.True(!picked())
	m.StartedMilli = 8
	f.Replace([]Member{m})
	is.True(picked())
}
