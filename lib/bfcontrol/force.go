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
	// forceTick is how often the cores of recovery are looked after; the gate
	// needs it once a Resend, the notes more often than a MaxPause.
	forceTick = 500 * time.Millisecond
	// heartbeatInterval is how long notes wait for each other where bytes count more.
	heartbeatInterval = time.Second
	// waitingLogEvery is how often a start that waits says so.
	waitingLogEvery = 10 * time.Second
)

// force decides when a held version comes into force: never before it can't be
// forgotten, and after a restart never an older one than was in force before.
type force struct {
	control  *Control
	settings bfrecover.Settings
	self     bfrecover.Member
	notes    *bfrecover.Notes
	// start is nil once it has decided; gate is nil before.
	start  *bfrecover.Start
	gate   *bfrecover.Gate
	joined bool
	// members is the membership as recovery needs it, met the members that the
	// meeting rows name.
	members, met []bfrecover.Member
	// held are versions held and not in force yet, oldest first.
	held []*bfconfig.State
	// floor is the version decided to start from; nothing older comes into force.
	floor bfconfig.Version
	head  headSearch
	// sent holds the last note to each witness, for one that restarts.
	sent map[string]bfrecover.Note
	// heartbeat holds the notes that wait for the next heartbeat, by witness.
	heartbeat map[string]bfrecover.Note
	beat      time.Time
	due       time.Time
	said      time.Time
}

func newForce(c *Control) *force {
	return &force{
		control: c, settings: c.parts.Profile.Recover, self: recoverMember(&c.parts.Self),
		heartbeat: map[string]bfrecover.Note{}, sent: map[string]bfrecover.Note{},
	}
}

func recoverMember(row *bfroster.Row) bfrecover.Member {
	return bfrecover.Member{ID: row.ID, Region: row.Region, Domain: row.Domain}
}

// begin starts the search for the version to start from.
func (f *force) begin(now time.Time) {
	f.notes = bfrecover.NewNotes(now, f.self.ID, f.control.parts.Self.Incarnation, f.settings)
	f.start = bfrecover.NewStart(now, f.self, f.settings)
	f.said = now
	f.due = now
	f.readHead()
}

func (f *force) next() time.Time { return f.due }

func (f *force) tick(now time.Time) {
	if now.Before(f.due) {
		return
	}
	f.due = now.Add(forceTick)
	f.notes.Tick(now)
	if f.start != nil {
		f.search(now)
	}
	if f.gate != nil {
		f.carryOut(now, f.gate.Tick(now))
		f.sendHeartbeats(now)
	}
}

// search asks witnesses, and the table again, until the start can be decided.
func (f *force) search(now time.Time) {
	f.ask()
	if f.head.due(now) {
		f.readHead()
	}
	f.decide(now)
}

// membersChanged takes the order that the control holds.
func (f *force) membersChanged(now time.Time) {
	if f.start == nil && f.gate == nil {
		return
	}
	order := f.control.share.order
	f.members = f.members[:0]
	for rank := range order.Len() {
		f.members = append(f.members, recoverMember(order.At(rank).Row()))
	}
	switch {
	case f.gate != nil:
		f.carryOut(now, f.gate.OnMembers(now, f.members))
	case f.joined:
		f.start.OnMembers(f.candidates())
		f.ask()
		f.decide(now)
	}
}

// ask asks those who may remember this instance.
func (f *force) ask() {
	for _, id := range f.start.Ask() {
		f.send(id, bfrecover.Question{Instance: f.self.ID})
	}
}

// candidates are whom a start may ask. A node that reaches nobody is not alone
// if others have met: its witnesses may be among them, cut off from it, and
// what they noted still binds.
func (f *force) candidates() []bfrecover.Member {
	all := slices.Clone(f.members)
	for _, met := range f.met {
		if !slices.Contains(all, met) {
			all = append(all, met)
		}
	}
	return all
}

// metAt takes the members that the meeting rows name.
func (f *force) metAt(rows []bfgossip.Meeting) {
	f.met = f.met[:0]
	for _, meeting := range rows {
		f.met = append(f.met, recoverMember(&meeting.Row))
	}
}

func (f *force) headRead(now time.Time, version bfconfig.Version, err error) {
	if f.start == nil {
		return
	}
	f.head.ended(now, err, f.control.rand)
	if err != nil {
		f.start.OnTableError(err)
		return
	}
	f.start.OnHead(version)
	f.decide(now)
}

func (f *force) decide(now time.Time) {
	switch decision := f.start.Decide(now).(type) {
	case bfrecover.StartAt:
		f.open(now, decision)
	case bfrecover.Waiting:
		if now.Sub(f.said) >= waitingLogEvery {
			f.said = now
			f.control.parts.Logger.Emit(bflog.RecoveryWaiting, slog.String("for", decision.String()))
		}
	case bfrecover.Contradiction:
		f.head.known = false
		if now.Sub(f.said) >= waitingLogEvery {
			f.said = now
			f.control.parts.Logger.Emit(bflog.InvariantBroken, slog.String("what", "witness ahead of the table"),
				slog.Uint64("head", uint64(decision.Head)), slog.Uint64("noted", uint64(decision.Noted)))
		}
	}
}

// open makes the gate, through which versions from the decided one on pass.
func (f *force) open(now time.Time, at bfrecover.StartAt) {
	f.start = nil
	f.gate = bfrecover.NewGate(now, f.self, f.control.parts.Self.Incarnation, at, f.settings)
	f.control.parts.Logger.Emit(bflog.RecoveryDone,
		slog.Uint64("version", uint64(at.Version)), slog.Bool("fromTable", at.FromTable))
	f.floor = at.Version
	f.atLeast(at.Version)
	f.carryOut(now, f.gate.OnMembers(now, f.members))
	if n := len(f.held); n > 0 {
		f.carryOut(now, f.gate.OnVersion(now, f.held[n-1].Version()))
	}
	// The empty version needs no witness: there is nothing older to go back to.
	f.enforce(now)
	if at.Version > f.control.spreader.Held() {
		f.control.spreadActions(now, "", f.control.spreader.HeadRead(now, at.Version, nil))
	}
}

// atLeast drops what is older than the version to start from.
func (f *force) atLeast(version bfconfig.Version) {
	for len(f.held) > 0 && f.held[0].Version() < version {
		f.held = f.held[1:]
	}
	if version == 0 && len(f.held) == 0 {
		f.held = append(f.held, bfconfig.Empty())
	}
}

// maxHeld bounds the versions that wait; only the newest that may pass matters,
// so with changes that come thick the ones in the middle are skipped.
const maxHeld = 256

// holds takes a version that the node holds whole and validated.
//
// A node that starts at 40 comes there by way of 1, 2 and 3 where it gets
// deltas. Those are no versions to serve: its earlier incarnation served 40.
func (f *force) holds(now time.Time, state *bfconfig.State) {
	if state.Version() < f.floor {
		return
	}
	f.held = append(f.held, state)
	if len(f.held) > maxHeld {
		f.held = append(f.held[:1:1], f.held[2:]...)
	}
	if f.gate != nil {
		f.carryOut(now, f.gate.OnVersion(now, state.Version()))
		f.enforce(now)
	}
}

func (f *force) carryOut(now time.Time, actions []bfrecover.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case bfrecover.NoteNow:
			f.sendNote(a.Witness, a.Note)
		case bfrecover.NoteWithHeartbeat:
			f.heartbeat[a.Witness] = a.Note
		case bfrecover.PutInForce:
			f.enforce(now)
		}
	}
}

// enforce puts the newest held version in force that has passed the gate.
func (f *force) enforce(now time.Time) {
	var newest *bfconfig.State
	for len(f.held) > 0 && f.held[0].Version() <= f.gate.InForce() {
		newest, f.held = f.held[0], f.held[1:]
	}
	if newest != nil {
		f.control.enforce(now, newest)
	}
}

func (f *force) sendHeartbeats(now time.Time) {
	if now.Sub(f.beat) < heartbeatInterval {
		return
	}
	f.beat = now
	for witness, note := range f.heartbeat {
		f.sendNote(witness, note)
	}
	clear(f.heartbeat)
}

// maxSent bounds the notes kept; the witnesses of all sets that bind are fewer.
const maxSent = 64

func (f *force) sendNote(witness string, note bfrecover.Note) {
	if len(f.sent) >= maxSent {
		clear(f.sent)
	}
	f.sent[witness] = note
	f.send(witness, note)
}

// reborn repeats the last note to a witness that runs in a new incarnation.
//
// The witness has forgotten this node. The gate hears so only with the answer to
// its next note, up to a Refresh later; if two more witnesses restart meanwhile
// and then this node, with the table away, it finds no majority that remembers
// it and waits for the table. The repeated note is refused by the new memory,
// and upon the refusal the gate registers anew.
func (f *force) reborn(member *bfroster.Row) {
	if note, found := f.sent[member.ID]; found {
		f.control.sendWitness(member.Peer, note)
	}
}

// send sends to a member; one that is gone is replaced as a witness.
func (f *force) send(id string, message any) {
	order := f.control.share.order
	if rank, found := order.Rank(id); found {
		f.control.sendWitness(order.At(rank).Row().Peer, message)
	}
}

// receive takes a message of another node's recovery, or of this one's witnesses.
func (f *force) receive(now time.Time, from string, message witnessMessage) {
	switch m := message.body.(type) {
	case bfrecover.Note:
		f.control.sendWitness(from, f.notes.OnNote(now, m))
	case bfrecover.Question:
		f.control.sendWitness(from, f.notes.OnQuestion(now, m))
	case bfrecover.Ack:
		if f.gate != nil {
			f.carryOut(now, f.gate.OnAck(now, m))
			f.enforce(now)
		}
	case bfrecover.Answer:
		if f.start != nil {
			f.start.OnAnswer(m)
			f.decide(now)
		}
	}
}

// enforce swaps the view that requests are routed by.
func (c *Control) enforce(now time.Time, state *bfconfig.State) {
	if held := c.view.Load(); held != nil && held.Version() >= state.Version() {
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
	c.parts.Logger.Emit(bflog.VersionAdopted, slog.Uint64("version", uint64(state.Version())))
}
