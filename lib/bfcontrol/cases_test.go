package bfcontrol

import (
	"slices"
	"testing"
	"time"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfspread"
	"bilberryflow.org/lib/bfstore"
)

// Versions 4 and 5 arrive at one node out of order because the body of 4 is lost.
// The node must put 4 in force before 5, and never an older version after a newer one.
func TestVersionsArriveOutOfOrder(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(6)
		for range 3 {
			c.commit("n1")
		}
		c.waitConverged(30*time.Second, "before", c.ids...)
		c.setLinks(func(_, to string, data []byte) bool { return to != "n5" || !pushesVersion(data, 4) }, nil)
		c.commit("n1")
		time.Sleep(60 * time.Millisecond)
		c.commit("n1")
		c.waitConverged(10*time.Second, "after pulling version 4", c.ids...)
		c.is.Equal(c.events("n5", bflog.VersionRefused), 0)
		c.is.Equal(c.events("n5", bflog.InvariantBroken), 0)
	})
}

// pushesVersion reports whether a datagram is a push that contains the version's delta.
func pushesVersion(data []byte, version bfconfig.Version) bool {
	message, err := bfspread.Decode(data)
	push, isPush := message.(bfspread.Push)
	return err == nil && isPush && slices.ContainsFunc(push.Deltas, func(d []byte) bool {
		delta, err := bfconfig.DecodeDelta(d)
		return err == nil && delta.Version() == version
	})
}

// The newest snapshots are truncated or of another version, and a delta row is
// corrupt. A starting node must log the unusable snapshots, and load an older one
// and the deltas after it.
func TestUnusableSnapshotsAreSkipped(t *testing.T) {
	runCluster(t, func(c *cluster) {
		ctx := t.Context()
		snapshots := map[bfconfig.Version][]byte{}
		for range 9 {
			c.commit("")
			data, err := c.head.EncodeSnapshot()
			c.is.NoErr(err)
			snapshots[c.head.Version()] = data
		}
		put := func(version bfconfig.Version, data []byte) {
			c.is.NoErr(c.store.PutObject(ctx, bfcommit.SnapshotKey(version), data))
		}
		put(8, snapshots[8][:len(snapshots[8])/2])
		put(7, snapshots[6])
		put(5, snapshots[5])
		c.is.NoErr(c.store.Commit(ctx, bfstore.Transaction{
			Writes: []bfstore.Write{{Key: bfcommit.VersionKey(3), Value: []byte("noise")}},
		}))
		c.startFleet(1)
		c.waitConverged(2*time.Minute, "from the older snapshot", "n1")
		c.is.Equal(c.events("n1", bflog.VersionAdopted), 1) // no older version before it
		c.is.True(c.events("n1", bflog.SnapshotUnusable) >= 2)
	})
}

// Nodes restart while the table is unavailable. Each must find the version it
// served from its witnesses and must not put an older one in force on the way.
// The nodes must not overload the table with reads.
func TestRestartsWhileTableIsUnavailable(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(9)
		for range 5 {
			c.commit("n1")
		}
		c.waitConverged(30*time.Second, "before", c.ids...)
		time.Sleep(10 * time.Second)
		c.setLinks(nil, func(string) bool { return false })
		for _, id := range []string{"n3", "n6"} {
			c.kill(id)
		}
		time.Sleep(500 * time.Millisecond)
		for _, id := range []string{"n3", "n6"} {
			c.start(id)
		}
		c.waitConverged(30*time.Second, "concurrent restarts", "n3", "n6")
		c.is.Equal(c.events("n3", bflog.VersionAdopted), 2) // once per incarnation
		time.Sleep(8 * time.Minute)
		c.kill("n4")
		c.start("n4")
		c.waitConverged(30*time.Second, "later restart", "n4")
		for _, id := range c.ids {
			c.is.True(c.events(id, bflog.TableUnavailable) <= 2) // at most once per incarnation
			c.is.Equal(c.events(id, bflog.TableAvailable), 0)
		}
		time.Sleep(8 * time.Minute)
		c.setLinks(nil, nil)
		c.commit("n1")
		c.waitConverged(30*time.Second, "afterwards", c.ids...)
		time.Sleep(time.Minute)
		c.is.Equal(c.events("n1", bflog.TableAvailable), 1)
	})
}

// The first node of a new fleet must start with an empty table, without waiting
// for a second node, so that the first change can be staged there.
func TestFirstNodeStartsWithEmptyTable(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(1)
		c.waitConverged(10*time.Second, "empty", "n1")
		c.commit("n1")
		c.waitConverged(10*time.Second, "first version", "n1")
	})
}

// Nodes restart one after another while the table is unavailable, so that each
// node's witnesses lose its notes one by one. The notes must be registered again
// in time, or a restarted node would reject requests until the table returns.
func TestRollingRestartsWhileTableIsUnavailable(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(9)
		for range 3 {
			c.commit("n1")
		}
		c.waitConverged(30*time.Second, "before", c.ids...)
		c.setLinks(nil, func(string) bool { return false })
		for _, id := range c.ids {
			c.kill(id)
			c.start(id)
			c.waitConverged(30*time.Second, "restart of "+id, id)
			time.Sleep(2 * time.Second)
		}
	})
}

// A whole fleet restarts while the table is unavailable, so that no witness holds a
// note. No node may serve; each must log the reason at a limited rate, and start
// from the table's head once it is available.
func TestStartWithoutTableOrWitnessesWaits(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.commit("")
		c.setLinks(nil, func(string) bool { return false })
		c.startFleet(4)
		time.Sleep(5 * time.Minute)
		for _, id := range c.ids {
			c.is.True(c.node(id).control.View() == nil)
			logged := c.events(id, bflog.RecoveryWaiting)
			c.is.True(logged > 10 && logged <= 30)
			c.is.Equal(c.events(id, bflog.TableUnavailable), 1)
		}
		// About 700 of these calls are polls of the head. Starts without backoff would
		// add 2,400 and overload the table.
		c.is.True(c.tableCalls() < 1200)
		c.setLinks(nil, nil)
		c.waitConverged(30*time.Second, "table available", c.ids...)
	})
}

// In a partition, n3 moves to the side without the table and restarts there, where
// the witnesses only hold its note of version 3. It must wait, since it has already
// served version 4. After the partition heals, all nodes must have the newest version.
func TestPartitionNeverServesOlderVersion(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(6)
		for range 3 {
			c.commit("n1")
		}
		c.waitConverged(30*time.Second, "before", c.ids...)
		isolated := []string{"n5", "n6"}
		isIsolated := func(id string) bool { return slices.Contains(isolated, id) }
		c.setLinks(func(from, to string, _ []byte) bool { return isIsolated(from) == isIsolated(to) }, func(id string) bool { return !isIsolated(id) })
		c.commit("n1")
		c.waitConverged(5*time.Minute, "side with the table", "n1", "n2", "n3", "n4")
		c.is.Equal(c.inForce("n5"), uint64(3))
		c.mu.Lock()
		isolated = append(isolated, "n3")
		c.mu.Unlock()
		c.kill("n3")
		c.start("n3")
		time.Sleep(time.Minute)
		c.is.True(c.node("n3").control.View() == nil)
		c.is.True(c.events("n3", bflog.RecoveryWaiting) > 0)
		c.setLinks(nil, nil)
		c.waitConverged(5*time.Minute, "healed", c.ids...)
		c.commit("n5")
		c.waitConverged(time.Minute, "afterwards", c.ids...)
	})
}

// A node is suspended for longer than every timeout and resumes with old messages
// in its socket. It must rejoin and reach the newest version without serving an older one.
func TestSuspendedNodeRejoins(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(6)
		c.commit("n1")
		c.waitConverged(30*time.Second, "before", c.ids...)
		resume := c.freeze("n4")
		c.commit("n1")
		time.Sleep(5 * time.Minute)
		c.commit("n1")
		c.waitConverged(5*time.Minute, "without the suspended node", "n1", "n2", "n3", "n5", "n6")
		c.is.Equal(c.node("n1").control.Order().Len(), 5)
		resume()
		c.waitConverged(time.Minute, "after resuming", c.ids...)
		time.Sleep(30 * time.Second)
		c.is.Equal(c.node("n1").control.Order().Len(), 6)
	})
}

// A node that loses all links must keep serving its version, and log once that the
// configuration may be stale and once that it is current again.
func TestIsolatedNodeLogsStaleConfiguration(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(4)
		c.commit("n1")
		c.waitConverged(30*time.Second, "before", c.ids...)
		c.setLinks(
			func(from, to string, _ []byte) bool { return from != "n2" && to != "n2" },
			func(id string) bool { return id != "n2" },
		)
		time.Sleep(10 * time.Minute)
		c.is.Equal(c.events("n2", bflog.ConfigurationStale), 1)
		c.is.Equal(c.inForce("n2"), uint64(1))
		c.is.True(time.Since(time.UnixMicro(c.node("n2").control.source.lastContactMicros.Load())) > 9*time.Minute)
		c.setLinks(nil, nil)
		time.Sleep(5 * time.Minute)
		c.is.Equal(c.events("n2", bflog.ConfigurationStale), 1)
		c.is.Equal(c.events("n2", bflog.ConfigurationCurrent), 1)
		c.is.Equal(c.events("n1", bflog.ConfigurationStale), 0)
	})
}

// An event starts while the table and all links are down and clocks differ. Each
// node must switch policies at the start time by its own clock, so nodes may differ
// only for as long as their clocks do.
func TestEventStartsAtLocalClock(t *testing.T) {
	runCluster(t, func(c *cluster) {
		c.startFleet(5)
		start := time.Now().Add(10*time.Minute + time.Second)
		c.commit("n1",
			bfconfig.Put{Object: bfconfig.ServiceSpec{Name: "desk"}},
			bfconfig.Put{Object: bfconfig.PolicySpec{Name: "usual", Class: "a", Deadline: time.Second}},
			bfconfig.Put{Object: bfconfig.PolicySpec{Name: "rush", Class: "a", Deadline: time.Second}},
			bfconfig.Put{Object: bfconfig.RouteSpec{Name: "stems", Prefix: "/stems", Service: "desk", Policy: "usual"}},
			bfconfig.Put{Object: bfconfig.EventSpec{
				Name: "window", Start: start, End: start.Add(time.Hour),
				Overrides: []bfconfig.Override{{Route: "stems", Policy: "rush"}},
			}},
		)
		time.Sleep(time.Until(start) - time.Minute)
		c.setLinks(func(string, string, []byte) bool { return false }, func(string) bool { return false })
		clockOffsets := map[string]time.Duration{"n1": -time.Second, "n2": time.Second}
		policy := func(id string) string {
			decision, _ := c.node(id).control.View().Events().InForce("stems", time.Now().Add(clockOffsets[id]))
			return decision.Policy().Name
		}
		for _, at := range []struct {
			offset time.Duration
			want   string // of n1, n2 and n3
		}{
			{-1001 * time.Millisecond, "usual usual usual"}, {-time.Second, "usual rush usual"},
			{-time.Millisecond, "usual rush usual"}, {0, "usual rush rush"},
			{999 * time.Millisecond, "usual rush rush"}, {time.Second, "rush rush rush"},
		} {
			time.Sleep(time.Until(start.Add(at.offset)))
			c.is.Equal(policy("n1")+" "+policy("n2")+" "+policy("n3"), at.want)
		}
	})
}
