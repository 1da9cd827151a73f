package bfcontrol

import (
	"log/slog"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bflog"
	"bilberryflow.org/lib/bfrecover"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfroute"
)

const (
	// activationTick is the interval between ticks of the recovery cores. The gate
	// needs one per Settings.ResendInterval, the notes at least one per Settings.MaxPause.
	activationTick = 500 * time.Millisecond
	// heartbeatInterval is how often notes are sent in the BytesFirst mode, batched per witness.
	heartbeatInterval = time.Second
	// waitingLogInterval is the minimum time between log entries about a waiting start.
	waitingLogInterval = 10 * time.Second
)

// activation decides when an adopted version is put in force: only once enough
// witnesses have recorded it, and after a restart never a version older than the
// one that was in force before.
//
// Witnesses are other members that store a node's notes in memory; a note contains
// the highest version that the node may put in force. The gate holds a version back
// until enough witnesses acknowledge its note. After a restart, the start queries the
// witnesses and the table's head for the version to start from.
type activation struct {
	control  *Control
	settings bfrecover.Settings
	self     bfrecover.Member
	notes    *bfrecover.Notes
	// start is nil once the start version is decided; gate is nil until then.
	start  *bfrecover.Start
	gate   *bfrecover.Gate
	joined bool
	// members is the membership in recovery's format; meetingMembers are the
	// members named in the meeting rows.
	members, meetingMembers []bfrecover.Member
	// pending holds the adopted versions that are not in force yet, oldest first.
	pending []*bfconfig.State
	// minVersion is the decided start version; no older version is put in force.
	minVersion bfconfig.Version
	headReads  headReads
	// lastNotes holds the last note to each witness, to resend it if the witness restarts.
	lastNotes map[string]bfrecover.Note
	// heartbeatNotes holds the notes to send with the next heartbeat, by witness.
	heartbeatNotes map[string]bfrecover.Note
	lastHeartbeat  time.Time
	nextTick       time.Time
	lastWaitingLog time.Time
}

func newActivation(c *Control) *activation {
	return &activation{
		control: c, settings: c.config.Profile.Recover, self: recoverMember(&c.config.Self),
		heartbeatNotes: map[string]bfrecover.Note{}, lastNotes: map[string]bfrecover.Note{},
	}
}

func recoverMember(row *bfroster.Row) bfrecover.Member {
	return bfrecover.Member{ID: row.ID, Region: row.Region, Domain: row.Domain}
}

// begin starts to determine the start version.
func (act *activation) begin(now time.Time) {
	act.notes = bfrecover.NewNotes(now, act.self.ID, act.control.config.Self.Incarnation, act.settings)
	act.start = bfrecover.NewStart(now, act.self, act.settings)
	act.lastWaitingLog = now
	act.nextTick = now
	act.readHead()
}

func (act *activation) next() time.Time { return act.nextTick }

func (act *activation) tick(now time.Time) {
	if now.Before(act.nextTick) {
		return
	}
	act.nextTick = now.Add(activationTick)
	act.notes.Tick(now)
	if act.start != nil {
		act.retryStart(now)
	}
	if act.gate != nil {
		act.applyActions(now, act.gate.Tick(now))
		act.sendHeartbeats(now)
	}
}

// retryStart queries the witnesses, and the table if a read is due, until the start version is decided.
func (act *activation) retryStart(now time.Time) {
	act.sendQuestions()
	if act.headReads.due(now) {
		act.readHead()
	}
	act.decide(now)
}

// membersChanged passes the published order to recovery.
func (act *activation) membersChanged(now time.Time) {
	if act.start == nil && act.gate == nil {
		return
	}
	order := act.control.publication.order
	act.members = act.members[:0]
	for rank := range order.Len() {
		act.members = append(act.members, recoverMember(order.At(rank).Row()))
	}
	switch {
	case act.gate != nil:
		act.applyActions(now, act.gate.OnMembers(now, act.members))
	case act.joined:
		act.start.OnMembers(act.candidates())
		act.sendQuestions()
		act.decide(now)
	}
}

// sendQuestions queries the candidates that may hold a note of this instance.
func (act *activation) sendQuestions() {
	for _, id := range act.start.Ask() {
		act.send(id, bfrecover.Question{Instance: act.self.ID})
	}
}

// candidates returns the members that the start may query. They include those
// in the meeting rows: a node that reaches no other member may be partitioned from
// its witnesses, and their notes are still binding.
func (act *activation) candidates() []bfrecover.Member {
	all := slices.Clone(act.members)
	for _, met := range act.meetingMembers {
		if !slices.Contains(all, met) {
			all = append(all, met)
		}
	}
	return all
}

// setMeetingMembers stores the members named in the meeting rows.
func (act *activation) setMeetingMembers(rows []bfgossip.Meeting) {
	act.meetingMembers = act.meetingMembers[:0]
	for _, meeting := range rows {
		act.meetingMembers = append(act.meetingMembers, recoverMember(&meeting.Row))
	}
}

func (act *activation) headRead(now time.Time, version bfconfig.Version, err error) {
	if act.start == nil {
		return
	}
	act.headReads.finished(now, err, act.control.rand)
	if err != nil {
		act.start.OnTableError(err)
		return
	}
	act.start.OnHead(version)
	act.decide(now)
}

func (act *activation) decide(now time.Time) {
	switch decision := act.start.Decide(now).(type) {
	case bfrecover.StartAt:
		act.openGate(now, decision)
	case bfrecover.Waiting:
		if now.Sub(act.lastWaitingLog) >= waitingLogInterval {
			act.lastWaitingLog = now
			act.control.config.Logger.Emit(bflog.RecoveryWaiting, slog.String("for", decision.String()))
		}
	case bfrecover.Contradiction:
		act.headReads.known = false
		if now.Sub(act.lastWaitingLog) >= waitingLogInterval {
			act.lastWaitingLog = now
			act.control.config.Logger.Emit(bflog.InvariantBroken, slog.String("what", "witness note newer than the table's head"),
				slog.Uint64("head", uint64(decision.Head)), slog.Uint64("noted", uint64(decision.Noted)))
		}
	}
}

// openGate creates the gate that admits versions from the decided one on.
func (act *activation) openGate(now time.Time, at bfrecover.StartAt) {
	act.start = nil
	act.gate = bfrecover.NewGate(now, act.self, act.control.config.Self.Incarnation, at, act.settings)
	act.control.config.Logger.Emit(bflog.RecoveryDone,
		slog.Uint64("version", uint64(at.Version)), slog.Bool("fromTable", at.FromTable))
	act.minVersion = at.Version
	act.discardOlder(at.Version)
	act.applyActions(now, act.gate.OnMembers(now, act.members))
	if n := len(act.pending); n > 0 {
		act.applyActions(now, act.gate.OnVersion(now, act.pending[n-1].Version()))
	}
	// Version 0 needs no witnesses, since no version is older.
	act.activatePassed(now)
	if at.Version > act.control.spreader.Held() {
		act.control.spreadActions(now, "", act.control.spreader.HeadRead(now, at.Version, nil))
	}
}

// discardOlder removes pending versions older than the start version.
func (act *activation) discardOlder(version bfconfig.Version) {
	for len(act.pending) > 0 && act.pending[0].Version() < version {
		act.pending = act.pending[1:]
	}
	if version == 0 && len(act.pending) == 0 {
		act.pending = append(act.pending, bfconfig.Empty())
	}
}

// maxPending bounds the pending versions. Only the newest that passes the gate
// matters, so intermediate ones are dropped.
const maxPending = 256

// addVersion adds a complete, validated version to the pending ones.
//
// A node that starts at version 40 may receive deltas from version 1 on. These
// earlier versions must not be put in force, since the previous incarnation served 40.
func (act *activation) addVersion(now time.Time, state *bfconfig.State) {
	if state.Version() < act.minVersion {
		return
	}
	act.pending = append(act.pending, state)
	if len(act.pending) > maxPending {
		act.pending = append(act.pending[:1:1], act.pending[2:]...)
	}
	if act.gate != nil {
		act.applyActions(now, act.gate.OnVersion(now, state.Version()))
		act.activatePassed(now)
	}
}

func (act *activation) applyActions(now time.Time, actions []bfrecover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfrecover.NoteNow:
			act.sendNote(a.Witness, a.Note)
		case bfrecover.NoteWithHeartbeat:
			act.heartbeatNotes[a.Witness] = a.Note
		case bfrecover.PutInForce:
			act.activatePassed(now)
		}
	}
}

// activatePassed puts the newest pending version that has passed the gate in force.
func (act *activation) activatePassed(now time.Time) {
	var newest *bfconfig.State
	for len(act.pending) > 0 && act.pending[0].Version() <= act.gate.InForce() {
		newest, act.pending = act.pending[0], act.pending[1:]
	}
	if newest != nil {
		act.control.activate(now, newest)
	}
}

func (act *activation) sendHeartbeats(now time.Time) {
	if now.Sub(act.lastHeartbeat) < heartbeatInterval {
		return
	}
	act.lastHeartbeat = now
	for witness, note := range act.heartbeatNotes {
		act.sendNote(witness, note)
	}
	clear(act.heartbeatNotes)
}

// maxLastNotes bounds lastNotes; the witnesses of all binding sets are fewer.
const maxLastNotes = 64

func (act *activation) sendNote(witness string, note bfrecover.Note) {
	if len(act.lastNotes) >= maxLastNotes {
		clear(act.lastNotes)
	}
	act.lastNotes[witness] = note
	act.send(witness, note)
}

// witnessRestarted resends the last note to a witness that runs in a new incarnation.
//
// The restarted witness has lost this node's note. Without the resend, the gate
// would detect that up to Settings.RefreshInterval later, with the reply to its next note.
// If two more witnesses and then this node restarted in between while the table is
// unavailable, no majority would hold a note and the node would wait for the
// table. The witness rejects the resent note, and the gate registers again.
func (act *activation) witnessRestarted(member *bfroster.Row) {
	if note, found := act.lastNotes[member.ID]; found {
		act.control.sendWitness(member.Peer, note)
	}
}

// send sends a recovery message to a member. Messages to departed members are dropped; the gate replaces those witnesses.
func (act *activation) send(id string, message any) {
	order := act.control.publication.order
	if rank, found := order.Rank(id); found {
		act.control.sendWitness(order.At(rank).Row().Peer, message)
	}
}

// receive handles a recovery message from another node or from one of this node's witnesses.
func (act *activation) receive(now time.Time, from string, message witnessMessage) {
	switch m := message.body.(type) {
	case bfrecover.Note:
		act.control.sendWitness(from, act.notes.OnNote(now, m))
	case bfrecover.Question:
		act.control.sendWitness(from, act.notes.OnQuestion(now, m))
	case bfrecover.Ack:
		if act.gate != nil {
			act.applyActions(now, act.gate.OnAck(now, m))
			act.activatePassed(now)
		}
	case bfrecover.Answer:
		if act.start != nil {
			act.start.OnAnswer(m)
			act.decide(now)
		}
	}
}

// activate replaces the view that routes requests, unless the current one is as new.
func (c *Control) activate(now time.Time, state *bfconfig.State) {
	if current := c.view.Load(); current != nil && current.Version() >= state.Version() {
		return
	}
	view, err := bfroute.NewView(state)
	if err != nil {
		c.report(err)
		return
	}
	c.view.Store(view)
	c.inForceSince.Store(now.UnixMicro())
	c.inForce.Store(uint64(state.Version()))
	c.spreader.SetInForce(state.Version())
	c.config.Logger.Emit(bflog.VersionAdopted, slog.Uint64("version", uint64(state.Version())))
}
