package bfcontrol

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfmember"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfstore"
)

// Two reads of the table are out at once when it goes away: the later one is
// refused at once, the earlier one's answer comes last. The operator must see
// one line, and not that the table is back while it is away.
func TestOvertakenAnswerSaysNothing(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := alone(t, sink{})
	c.parts.Logger = bflog.New(&out, "n1", slog.LevelInfo)
	began := time.Unix(1_800_000_000, 0)
	away := &bfstore.UnavailableError{Reason: "refused"}
	c.tableAnswered(began.Add(2*time.Second), began.Add(time.Second), away)
	c.tableAnswered(began.Add(3*time.Second), began, nil)
	c.tableAnswered(began.Add(4*time.Second), began.Add(3*time.Second), away)
	is.Equal(strings.Count(out.String(), "\n"), 1)
	c.tableAnswered(began.Add(6*time.Second), began.Add(5*time.Second), nil)
	is.Equal(strings.Count(out.String(), "\n"), 2)
}

// A target starts cold before its node holds the version that says how long its
// ramp is. Once it holds it, the ramp must count for requests here; else a cold
// target gets its full share at once, for as long as the fleet stays the same.
func TestRampComesWithTheConfiguration(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := inFleet(t, now, 5)
	cold := memberRow(2)
	cold.Sequence, cold.Target = 1, bfroster.TargetCold
	c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{cold}})
	now = now.Add(time.Minute)
	c.after(now)
	member, _ := c.parts.Directory.Member(cold.ID)
	is.Equal(member.Target.ColdStart, time.Duration(0))
	change := bfconfig.NewChange("c", "anna", now, []bfconfig.Op{
		bfconfig.Put{Object: bfconfig.ServiceSpec{Name: cold.Service, ColdStart: time.Minute}},
	})
	state, _, err := bfconfig.Empty().Propose(change)
	is.NoErr(err)
	c.held(now, state)
	c.after(now.Add(shareInterval))
	member, _ = c.parts.Directory.Member(cold.ID)
	is.Equal(member.Target.ColdStart, time.Minute)
	is.Equal(member.Target.ColdSince, now)
}

// Versions come thick while the witnesses are silent, and one is skipped by a
// snapshot. What waits must stay bounded, and only the newest that passed the
// gate comes into force, never one from before the start.
func TestHeldVersionsStayBounded(t *testing.T) {
	is := is.New(t)
	c := inFleet(t, time.Unix(1_800_000_000, 0), 5)
	state := bfconfig.Empty()
	for i := range 3 * maxHeld {
		service := bfconfig.ServiceSpec{Name: "s", Slots: i + 1}
		next, _, err := state.Propose(bfconfig.NewChange("c", "anna", time.Unix(1e9, 0), []bfconfig.Op{bfconfig.Put{Object: service}}))
		is.NoErr(err)
		if state = next; i != 7 {
			c.held(time.Unix(1_800_000_000, 0), state)
		}
	}
	is.True(len(c.force.held) <= maxHeld)
	is.Equal(c.force.held[len(c.force.held)-1].Version(), state.Version())
	is.Equal(c.inForce.Load(), uint64(0))
}

// A whole domain is lost and comes back. The operator must find one line for
// each: the members' own rows don't change, so nothing else in the log says it.
func TestLostDomainIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &Control{}
	c.parts.Logger = bflog.New(&out, "n1", slog.LevelInfo)
	for _, lost := range []bool{true, false} {
		outage := bfgossip.Outage{Region: "vienna", Domain: "wien-sued", Epoch: 1, Lost: lost}
		c.memberActions(time.Now(), []bfmember.Action{bfmember.OutageChanged{Outage: outage}})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], fmt.Sprintf(`"event":%d`, bflog.DomainLost.Number())))
	is.True(strings.Contains(lines[1], fmt.Sprintf(`"event":%d`, bflog.DomainBack.Number())))
	is.True(strings.Contains(lines[0], "wien-sued"))
}
