package bfrecover

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Action is the sealed set of what a Gate asks for.
type Action interface{ isAction() }

// NoteNow asks for the note to be sent at once.
type NoteNow struct {
	Witness string
	Note    Note
}

// NoteWithHeartbeat asks for the note to go with the next heartbeat, in place of one that waits there.
type NoteWithHeartbeat struct {
	Witness string
	Note    Note
}

// PutInForce asks for the version, and all up to it, to be put in force.
type PutInForce struct{ Version bfconfig.Version }

func (NoteNow) isAction()           {}
func (NoteWithHeartbeat) isAction() {}
func (PutInForce) isAction()        {}

// Gate holds each version back until it can't be forgotten.
//
// A version passes once a majority of every binding set has noted it: the
// newest set, and each older one that a restarted node might still believe to
// be the newest. An older set stops binding once a majority of it has been told
// of a newer one, since whoever asks a majority of it then hears of that one,
// or once its notes have lapsed.
type Gate struct {
	self        Member
	incarnation uint64
	settings    Settings
	epoch       uint64
	groups      []group // oldest first; the last is the newest set
	witnesses   map[string]*witness
	members     []Member
	ready       bfconfig.Version
	inForce     bfconfig.Version
	refreshed   time.Time
}

// maxGroups bounds the sets that bind at once: with a membership that flaps, or
// witnesses that can't be reached, notes would otherwise grow with every change.
const maxGroups = 8

// group is a set that binds.
type group struct {
	set Set
	// unknown stands for sets that this incarnation could not find out.
	unknown bool
	lapses  time.Time
}

// witness is what one witness has acknowledged in its present memory.
type witness struct {
	memory  uint64
	set     Set // only its order matters
	version bfconfig.Version
	sent    time.Time
	due     bool // it has not been sent the newest there is
}

// NewGate makes the gate of a node that starts as decided; nothing passes before OnMembers.
func NewGate(now time.Time, self Member, incarnation uint64, start StartAt, settings Settings) *Gate {
	g := &Gate{
		self: self, incarnation: incarnation, settings: settings,
		witnesses: map[string]*witness{}, ready: start.Version, refreshed: now,
	}
	lapses := now.Add(settings.Lapse + settings.Margin)
	if start.Unknown {
		g.groups = append(g.groups, group{unknown: true, lapses: lapses})
	}
	for _, set := range start.Old {
		g.groups = append(g.groups, group{set: set, lapses: lapses})
	}
	return g
}

// InForce is the highest version that has passed.
func (g *Gate) InForce() bfconfig.Version { return g.inForce }

// Waiting is how many older sets still bind.
func (g *Gate) Waiting() int { return max(0, len(g.groups)-1) }

// OnMembers takes the members that are alive and chooses the witnesses anew.
func (g *Gate) OnMembers(now time.Time, members []Member) []Action {
	g.members = members
	chosen := Witnesses(g.self, members, g.settings.Witnesses)
	last := len(g.groups) - 1
	if g.epoch > 0 && (slices.Equal(chosen, g.groups[last].set.Members) || len(g.groups) >= maxGroups) {
		return nil // Tick asks again while older sets bind
	}
	if g.epoch > 0 {
		// From here on no note refreshes the old set, so its notes lapse in time.
		g.groups[last].lapses = now.Add(g.settings.Lapse + g.settings.Margin)
	}
	g.epoch++
	set := Set{Incarnation: g.incarnation, Epoch: g.epoch, Members: chosen}
	g.groups = append(g.groups, group{set: set})
	g.allDue()
	return append(g.pass(now), g.send(now, g.settings.Mode)...)
}

// OnVersion takes a version that the node has whole and validated.
func (g *Gate) OnVersion(now time.Time, version bfconfig.Version) []Action {
	if version <= g.ready {
		return nil
	}
	g.ready = version
	g.allDue()
	return append(g.pass(now), g.send(now, g.settings.Mode)...)
}

// OnAck takes a witness's answer to a note.
func (g *Gate) OnAck(now time.Time, ack Ack) []Action {
	w, known := g.witnesses[ack.Witness]
	if !known || ack.Memory < w.memory {
		return nil // not asked, or from a memory that is gone
	}
	restarted := ack.Memory > w.memory
	if restarted {
		*w = witness{memory: ack.Memory}
	}
	if ack.Refused {
		w.set = Set{} // the sets go with the next note
	}
	if restarted && ack.Refused {
		return g.sendTo(now, ack.Witness, ConvergenceFirst)
	}
	if ack.Refused {
		return nil // repeated by Tick; at once, a full witness would be asked without end
	}
	w.version = max(w.version, ack.Version)
	if set := (Set{Incarnation: ack.Incarnation, Epoch: ack.Epoch}); set.compare(w.set) > 0 {
		w.set = set
	}
	return g.pass(now)
}

// Tick lets old sets lapse and repeats notes; it must come at least once per Resend.
func (g *Gate) Tick(now time.Time) []Action {
	actions := g.pass(now)
	if g.epoch > 0 && len(g.groups) > 1 {
		actions = append(actions, g.OnMembers(now, g.members)...)
	}
	actions = append(actions, g.send(now, g.settings.Mode)...)
	if now.Sub(g.refreshed) >= g.settings.Refresh {
		g.refreshed = now
		g.allDue()
		actions = append(actions, g.send(now, BytesFirst)...)
	}
	return actions
}

func (g *Gate) allDue() {
	for _, id := range g.bound() {
		if _, known := g.witnesses[id]; !known {
			g.witnesses[id] = &witness{}
		}
		g.witnesses[id].due = true
	}
}

// send notes to each witness that is due, or behind and not asked just now.
func (g *Gate) send(now time.Time, mode Mode) []Action {
	var actions []Action
	for _, id := range g.bound() {
		w := g.witnesses[id]
		behind := w.version < g.ready || w.set.compare(g.newest()) < 0
		if w.due || behind && now.Sub(w.sent) >= g.settings.Resend {
			actions = append(actions, g.sendTo(now, id, mode)...)
		}
	}
	return actions
}

func (g *Gate) sendTo(now time.Time, id string, mode Mode) []Action {
	if g.epoch == 0 {
		return nil
	}
	w := g.witnesses[id]
	w.sent, w.due = now, false
	note := Note{
		Instance: g.self.ID, Incarnation: g.incarnation, Epoch: g.epoch, Version: g.ready, Memory: w.memory,
	}
	if w.set.compare(g.newest()) < 0 {
		note.Sets = g.sets()
	}
	if mode == BytesFirst {
		return []Action{NoteWithHeartbeat{Witness: id, Note: note}}
	}
	return []Action{NoteNow{Witness: id, Note: note}}
}

func (g *Gate) newest() Set { return g.groups[len(g.groups)-1].set }

func (g *Gate) sets() []Set {
	var sets []Set
	for _, group := range g.groups {
		if !group.unknown {
			sets = append(sets, group.set)
		}
	}
	return sets
}

// bound lists the members of all binding sets.
func (g *Gate) bound() []string {
	var ids []string
	for _, set := range g.sets() {
		ids = append(ids, set.Members...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// pass drops the sets that stopped binding and puts in force what the others allow.
func (g *Gate) pass(now time.Time) []Action {
	if g.epoch == 0 {
		return nil
	}
	last := len(g.groups) - 1
	g.groups = append(slices.DeleteFunc(g.groups[:last:last], func(old group) bool {
		return !now.Before(old.lapses) || g.superseded(old)
	}), g.groups[last])
	version := g.ready
	for _, group := range g.groups {
		version = min(version, g.noted(group))
	}
	if version <= g.inForce {
		return nil
	}
	g.inForce = version
	return []Action{PutInForce{Version: version}}
}

// superseded reports whether a majority of the set has registered under a newer one.
func (g *Gate) superseded(old group) bool {
	if old.unknown {
		return false
	}
	told := 0
	for _, id := range old.set.Members {
		if w, known := g.witnesses[id]; known && w.set.compare(old.set) > 0 {
			told++
		}
	}
	return told >= majority(len(old.set.Members))
}

// noted is the highest version that a majority of the set has noted.
func (g *Gate) noted(group group) bfconfig.Version {
	if group.unknown {
		return 0
	}
	if len(group.set.Members) == 0 {
		return g.ready // no other node: only the table counts
	}
	var versions []bfconfig.Version
	for _, id := range group.set.Members {
		if w, known := g.witnesses[id]; known {
			versions = append(versions, w.version)
		}
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	need := majority(len(group.set.Members))
	if len(versions) < need {
		return 0
	}
	return versions[need-1]
}
