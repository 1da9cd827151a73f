package bfrecover

import (
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Action is the sealed set of effects that the caller of Gate carries out.
type Action interface{ isAction() }

// NoteNow requests that the note is sent at once.
type NoteNow struct {
	Witness string
	Note    Note
}

// NoteWithHeartbeat requests that the note is sent with the next heartbeat to the
// witness; it replaces a note that is already queued there.
type NoteWithHeartbeat struct {
	Witness string
	Note    Note
}

// PutInForce requests that all versions up to Version are put in force.
type PutInForce struct{ Version bfconfig.Version }

func (NoteNow) isAction()           {}
func (NoteWithHeartbeat) isAction() {}
func (PutInForce) isAction()        {}

// Gate delays each version until a restart of the node can't lose it.
//
// A version passes once a majority of every binding set of witnesses has noted
// it. The newest set is binding, and so is each older one that the node, after a
// restart, might take for the newest. An older set stops binding once a majority
// of it has registered a newer one, since any majority of it then reports the
// newer one, or once its notes have expired.
type Gate struct {
	self        Member
	incarnation uint64
	settings    Settings
	epoch       uint64
	binding     []bindingSet // the binding sets, oldest first
	witnesses   map[string]*witness
	members     []Member
	ready       bfconfig.Version
	inForce     bfconfig.Version
	refreshed   time.Time
}

// maxBindingSets bounds the binding sets: with a flapping membership or unreachable
// witnesses, notes would otherwise grow with every change.
const maxBindingSets = 8

// bindingSet is a set of witnesses whose majority has to note each version.
type bindingSet struct {
	set Set
	// unknown stands for sets of earlier incarnations that this one could not determine.
	unknown bool
	expires time.Time
}

// witness holds what one witness has acknowledged in its current memory.
type witness struct {
	memory  uint64
	set     Set // only its order matters
	version bfconfig.Version
	sent    time.Time
	due     bool // the newest note has not been sent yet
}

// NewGate returns the gate of a node that starts at start; no version passes before OnMembers.
func NewGate(now time.Time, self Member, incarnation uint64, start StartAt, settings Settings) *Gate {
	g := &Gate{
		self: self, incarnation: incarnation, settings: settings,
		witnesses: map[string]*witness{}, ready: start.Version, refreshed: now,
	}
	expires := now.Add(settings.NoteTTL + settings.Margin)
	if start.UnknownSets {
		g.binding = append(g.binding, bindingSet{unknown: true, expires: expires})
	}
	for _, set := range start.OldSets {
		g.binding = append(g.binding, bindingSet{set: set, expires: expires})
	}
	return g
}

// InForce returns the highest version that has passed.
func (g *Gate) InForce() bfconfig.Version { return g.inForce }

// OldSets returns the number of older sets that are still binding.
func (g *Gate) OldSets() int { return max(0, len(g.binding)-1) }

// OnMembers handles a change of the alive members and chooses new witnesses if needed.
func (g *Gate) OnMembers(now time.Time, members []Member) []Action {
	g.members = members
	chosen := Witnesses(g.self, members, g.settings.Witnesses)
	last := len(g.binding) - 1
	if g.epoch > 0 && (slices.Equal(chosen, g.binding[last].set.Members) || len(g.binding) >= maxBindingSets) {
		return nil // Tick retries while older sets are binding
	}
	if g.epoch > 0 {
		// From here on no note refreshes the old set, so its notes expire.
		g.binding[last].expires = now.Add(g.settings.NoteTTL + g.settings.Margin)
	}
	g.epoch++
	set := Set{Incarnation: g.incarnation, Epoch: g.epoch, Members: chosen}
	g.binding = append(g.binding, bindingSet{set: set})
	g.markAllDue()
	return append(g.advance(now), g.send(now, g.settings.Mode)...)
}

// OnVersion handles a version that the node holds completely and has validated.
func (g *Gate) OnVersion(now time.Time, version bfconfig.Version) []Action {
	if version <= g.ready {
		return nil
	}
	g.ready = version
	g.markAllDue()
	return append(g.advance(now), g.send(now, g.settings.Mode)...)
}

// OnAck handles a witness's answer to a note.
func (g *Gate) OnAck(now time.Time, ack Ack) []Action {
	w, known := g.witnesses[ack.Witness]
	if !known || ack.Memory < w.memory {
		return nil // not a witness, or from before its restart
	}
	restarted := ack.Memory > w.memory
	if restarted {
		*w = witness{memory: ack.Memory}
	}
	if ack.Refused {
		w.set = Set{} // the next note carries the sets
	}
	if restarted && ack.Refused {
		return g.sendTo(now, ack.Witness, ConvergenceFirst)
	}
	if ack.Refused {
		return nil // Tick repeats the note; an immediate retry to a full witness would loop
	}
	w.version = max(w.version, ack.Version)
	if set := (Set{Incarnation: ack.Incarnation, Epoch: ack.Epoch}); set.compare(w.set) > 0 {
		w.set = set
	}
	return g.advance(now)
}

// Tick expires old sets and repeats notes; call it at least once per ResendInterval.
func (g *Gate) Tick(now time.Time) []Action {
	actions := g.advance(now)
	if g.epoch > 0 && len(g.binding) > 1 {
		actions = append(actions, g.OnMembers(now, g.members)...)
	}
	actions = append(actions, g.send(now, g.settings.Mode)...)
	if now.Sub(g.refreshed) >= g.settings.RefreshInterval {
		g.refreshed = now
		g.markAllDue()
		actions = append(actions, g.send(now, BytesFirst)...)
	}
	return actions
}

func (g *Gate) markAllDue() {
	for _, id := range g.boundWitnesses() {
		if _, known := g.witnesses[id]; !known {
			g.witnesses[id] = &witness{}
		}
		g.witnesses[id].due = true
	}
}

// send sends a note to each witness that is due, or whose last note was not
// acknowledged within ResendInterval.
func (g *Gate) send(now time.Time, mode Mode) []Action {
	var actions []Action
	for _, id := range g.boundWitnesses() {
		w := g.witnesses[id]
		behind := w.version < g.ready || w.set.compare(g.newest()) < 0
		if w.due || behind && now.Sub(w.sent) >= g.settings.ResendInterval {
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

func (g *Gate) newest() Set { return g.binding[len(g.binding)-1].set }

func (g *Gate) sets() []Set {
	var sets []Set
	for _, b := range g.binding {
		if !b.unknown {
			sets = append(sets, b.set)
		}
	}
	return sets
}

// boundWitnesses lists the members of all binding sets.
func (g *Gate) boundWitnesses() []string {
	var ids []string
	for _, set := range g.sets() {
		ids = append(ids, set.Members...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// advance drops the sets that are no longer binding and puts in force the highest
// version that a majority of each other set has noted.
func (g *Gate) advance(now time.Time) []Action {
	if g.epoch == 0 {
		return nil
	}
	last := len(g.binding) - 1
	g.binding = append(slices.DeleteFunc(g.binding[:last:last], func(old bindingSet) bool {
		return !now.Before(old.expires) || g.superseded(old)
	}), g.binding[last])
	version := g.ready
	for _, b := range g.binding {
		version = min(version, g.quorumVersion(b))
	}
	if version <= g.inForce {
		return nil
	}
	g.inForce = version
	return []Action{PutInForce{Version: version}}
}

// superseded reports whether a majority of the set has registered a newer one.
func (g *Gate) superseded(old bindingSet) bool {
	if old.unknown {
		return false
	}
	registered := 0
	for _, id := range old.set.Members {
		if w, known := g.witnesses[id]; known && w.set.compare(old.set) > 0 {
			registered++
		}
	}
	return registered >= majority(len(old.set.Members))
}

// quorumVersion returns the highest version that a majority of the set has noted.
func (g *Gate) quorumVersion(b bindingSet) bfconfig.Version {
	if b.unknown {
		return 0
	}
	if len(b.set.Members) == 0 {
		return g.ready // no other node: only the table can hold a version
	}
	var versions []bfconfig.Version
	for _, id := range b.set.Members {
		if w, known := g.witnesses[id]; known {
			versions = append(versions, w.version)
		}
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	need := majority(len(b.set.Members))
	if len(versions) < need {
		return 0
	}
	return versions[need-1]
}
