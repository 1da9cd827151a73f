package bfcontrol

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"bilberryflow.org/lib/bfcommit"
	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfstore"
)

const (
	// meetingPrefix starts the keys of the meeting rows, in which nodes store their
	// addresses so that starting nodes find members to join.
	meetingPrefix = "meeting/"
	// meetingEnd is the first key after the meeting rows.
	meetingEnd = "meeting0"
	// fetchLimit is the maximum number of deltas per table read.
	fetchLimit = 500
)

func meetingKey(slot int) string { return fmt.Sprintf("%s%02d", meetingPrefix, slot) }

type meetingsRead struct {
	rows []bfgossip.Meeting
	err  error
}

func (c *Control) readMeeting() {
	began := c.config.Timer.Now()
	async(c, "read meeting rows", func(ctx context.Context) meetingsRead {
		rows, err := c.config.Table.Range(ctx, meetingPrefix, meetingEnd, c.config.Profile.Members.MeetingSlots)
		if err != nil {
			return meetingsRead{err: err}
		}
		var found []bfgossip.Meeting
		for _, row := range rows {
			// Rows that can't be decoded are skipped; the next write of the slot replaces them.
			if meeting, err := bfgossip.DecodeMeeting(row.Value); err == nil {
				found = append(found, meeting)
			}
		}
		return meetingsRead{rows: found}
	}, func(now time.Time, m meetingsRead) {
		c.recordTableRead(now, began, m.err)
		if m.err == nil {
			c.activation.setMeetingMembers(m.rows)
		}
		c.memberActions(now, c.members.MeetingRead(now, m.rows, m.err))
	})
}

func (c *Control) writeMeeting(meeting bfgossip.Meeting) {
	c.config.Group.Go("write meeting row", func(ctx context.Context) error {
		value, err := bfgossip.EncodeMeeting(meeting)
		if err != nil {
			c.report(err)
			return nil
		}
		// A failed write is ignored: other nodes write meeting rows too, and nothing depends on this one.
		_ = c.config.Table.Commit(ctx, bfstore.Transaction{
			Writes: []bfstore.Write{{Key: meetingKey(meeting.Slot), Value: value}},
		})
		return nil
	})
}

type headRead struct {
	version bfconfig.Version
	err     error
}

func (c *Control) readHead() {
	began := c.config.Timer.Now()
	async(c, "read head", c.tableHead, func(now time.Time, h headRead) {
		c.recordTableRead(now, began, h.err)
		c.activation.headRead(now, h.version, h.err)
		c.spreadActions(now, "", c.spreader.HeadRead(now, h.version, h.err))
	})
}

func (c *Control) tableHead(ctx context.Context) headRead {
	rows, err := c.config.Table.Get(ctx, bfcommit.HeadKey)
	if err != nil {
		return headRead{err: err}
	}
	if len(rows) != 1 {
		return headRead{err: &bfstore.UnavailableError{Reason: fmt.Sprintf("%d rows for the head", len(rows))}}
	}
	head, err := bfcommit.DecodeHead(rows[0])
	return headRead{version: head.Version, err: err}
}

type deltasRead struct {
	deltas [][]byte
	err    error
	// snapshot is set if the delta after the current version is unusable.
	snapshot *snapshotRead
}

// fetchDeltas reads the deltas that follow a version from the table.
//
// Rows may be missing or corrupt; the deltas before such a row are used. If the
// very next row is unusable, no further read can get past it, so a snapshot is
// loaded instead. Otherwise the node would stay at its version forever.
func (c *Control) fetchDeltas(after bfconfig.Version) {
	began := c.config.Timer.Now()
	async(c, "fetch deltas", func(ctx context.Context) deltasRead {
		from, to := bfcommit.VersionRange(after+1, after+fetchLimit)
		rows, err := c.config.Table.Range(ctx, from, to, fetchLimit)
		read := deltasRead{deltas: consecutiveDeltas(after, rows), err: err}
		// Checking the head keeps a member that advertises a nonexistent version
		// from making other nodes load snapshots in vain.
		if err == nil && len(read.deltas) == 0 && c.tableHead(ctx).version > after {
			snapshot := c.loadSnapshot(ctx, after+1)
			read.snapshot = &snapshot
		}
		return read
	}, func(now time.Time, d deltasRead) {
		c.recordTableRead(now, began, d.err)
		if d.snapshot != nil {
			c.spreadActions(now, "", c.spreader.StoreSnapshot(now, d.snapshot.version, d.snapshot.data, d.snapshot.err))
		}
		c.spreadActions(now, "", c.spreader.StoreDeltas(now, d.deltas, d.err))
	})
}

// consecutiveDeltas returns the deltas up to the first row that is corrupt or out of sequence.
func consecutiveDeltas(after bfconfig.Version, rows []bfstore.Row) [][]byte {
	var deltas [][]byte
	for _, row := range rows {
		delta, err := bfconfig.DecodeDelta(row.Value)
		if err != nil || delta.Version() != after+1 {
			break
		}
		after++
		deltas = append(deltas, row.Value)
	}
	return deltas
}

type snapshotRead struct {
	version bfconfig.Version
	data    []byte
	err     error
}

func (c *Control) fetchSnapshot(atLeast bfconfig.Version) {
	async(c, "fetch snapshot", func(ctx context.Context) snapshotRead {
		return c.loadSnapshot(ctx, atLeast)
	}, func(now time.Time, s snapshotRead) {
		c.spreadActions(now, "", c.spreader.StoreSnapshot(now, s.version, s.data, s.err))
	})
}

func (c *Control) loadSnapshot(ctx context.Context, atLeast bfconfig.Version) snapshotRead {
	state, unusable, err := bfcommit.Load(ctx, c.config.Table, c.config.Objects, fetchLimit)
	for _, u := range unusable {
		c.config.Logger.Emit(bflog.SnapshotUnusable, slog.Uint64("version", uint64(u.Version)), bflog.Err(u.Err))
	}
	if err != nil {
		return snapshotRead{err: err}
	}
	if state.Version() < atLeast {
		return snapshotRead{err: &bfconfig.VersionError{Held: state.Version(), Delta: atLeast}}
	}
	data, err := state.EncodeSnapshot()
	return snapshotRead{version: state.Version(), data: data, err: err}
}
