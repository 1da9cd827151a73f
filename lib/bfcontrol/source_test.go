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

// Two table reads are in flight when the table becomes unavailable, and the earlier
// one completes last. Its outdated result must not be logged as a recovery.
func TestOvertakenTableReadIsNotLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := newIdleControl(t, discardNetwork{})
	c.config.Logger = bflog.New(&out, "n1", slog.LevelInfo)
	began := time.Unix(1_800_000_000, 0)
	unavailable := &bfstore.UnavailableError{Reason: "refused"}
	c.recordTableRead(began.Add(2*time.Second), began.Add(time.Second), unavailable)
	c.recordTableRead(began.Add(3*time.Second), began, nil)
	c.recordTableRead(began.Add(4*time.Second), began.Add(3*time.Second), unavailable)
	is.Equal(strings.Count(out.String(), "\n"), 1)
	c.recordTableRead(began.Add(6*time.Second), began.Add(5*time.Second), nil)
	is.Equal(strings.Count(out.String(), "\n"), 2)
}

// A target can be cold before its node has the version that defines its cold start
// duration. The directory must then be updated, or the target gets its full share at once.
func TestColdStartFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	c := newFleetControl(t, now, 5)
	cold := memberRow(2)
	cold.Sequence, cold.Target = 1, bfroster.TargetCold
	c.dispatch(now, memberRow(1).Peer, bfgossip.Repair{Self: memberRow(1), Rows: []bfroster.Row{cold}})
	now = now.Add(time.Minute)
	c.after(now)
	member, _ := c.config.Directory.Member(cold.ID)
	is.Equal(member.Target.ColdStart, time.Duration(0))
	change := bfconfig.NewChange("c", "anna", now, []bfconfig.Op{
		bfconfig.Put{Object: bfconfig.ServiceSpec{Name: cold.Service, ColdStart: time.Minute}},
	})
	state, _, err := bfconfig.Empty().Propose(change)
	is.NoErr(err)
	c.versionAdopted(now, state)
	c.after(now.Add(publishInterval))
	member, _ = c.config.Directory.Member(cold.ID)
	is.Equal(member.Target.ColdStart, time.Minute)
	is.Equal(member.Target.ColdSince, now)
}

// The pending versions must stay bounded while the witnesses don't respond.
func TestPendingVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newFleetControl(t, time.Unix(1_800_000_000, 0), 5)
	state := bfconfig.Empty()
	for i := range 3 * maxPending {
		service := bfconfig.ServiceSpec{Name: "s", Slots: i + 1}
		next, _, err := state.Propose(bfconfig.NewChange("c", "anna", time.Unix(1e9, 0), []bfconfig.Op{bfconfig.Put{Object: service}}))
		is.NoErr(err)
		if state = next; i != 7 {
			c.versionAdopted(time.Unix(1_800_000_000, 0), state)
		}
	}
	is.True(len(c.activation.pending) <= maxPending)
	is.Equal(c.activation.pending[len(c.activation.pending)-1].Version(), state.Version())
	is.Equal(c.inForce.Load(), uint64(0))
}

// An outage of a failure domain and its end must each be logged once: the members'
// own rows don't change, so nothing else is logged.
func TestDomainOutageIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &Control{}
	c.config.Logger = bflog.New(&out, "n1", slog.LevelInfo)
	for _, lost := range []bool{true, false} {
		outage := bfgossip.Outage{Region: "vienna", Domain: "wien-sued", Epoch: 1, Lost: lost}
		c.memberActions(time.Now(), []bfmember.Action{bfmember.OutageChanged{Outage: outage}})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], fmt.Sprintf(`"event":%d`, bflog.DomainLost.Number())))
	is.True(strings.Contains(lines[1], fmt.Sprintf(`"event":%d`, bflog.DomainRecovered.Number())))
	is.True(strings.Contains(lines[0], "wien-sued"))
}
