package bfrecover

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"bilberryflow.org/lib/bfconfig"
)

// script is one instance and its candidates a to f, moved by hand.
type script struct {
	is       *is.I
	now      time.Time
	settings Settings
	notes    map[string]*Notes
	gate     *Gate
}

func newScript(t *testing.T) *script {
	s := &script{is: is.New(t), now: time.Unix(1_000_000, 0), settings: DefaultSettings(), notes: map[string]*Notes{}}
	s.settings.MaxPause = time.Hour
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.notes[id] = NewNotes(s.now, id, 1, s.settings)
	}
	return s
}

func list(ids string) []Member {
	var all []Member
	for _, id := range ids {
		all = append(all, Member{ID: string(id)})
	}
	return all
}

// begin starts an incarnation with these members as its witnesses.
func (s *script) begin(incarnation uint64, start StartAt, members string) {
	s.gate = NewGate(s.now, Member{ID: "x"}, incarnation, start, s.settings)
	s.reach("", s.gate.OnMembers(s.now, list(members)))
}

// reach carries out the notes to some witnesses, answers and all; the others' are lost.
func (s *script) reach(witnesses string, actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		note, isNote := action.(NoteNow)
		for _, id := range witnesses {
			if isNote && note.Witness == string(id) {
				actions = append(actions, s.gate.OnAck(s.now, s.notes[note.Witness].OnNote(s.now, note.Note))...)
			}
		}
	}
}

// repeat sends what is missing again.
func (s *script) repeat(witnesses string) {
	s.now = s.now.Add(s.settings.Resend)
	s.reach(witnesses, s.gate.Tick(s.now))
}

func (s *script) restart(witness string) {
	s.notes[witness] = NewNotes(s.now, witness, s.notes[witness].Memory()+1_000, s.settings)
}

// decide asks these candidates for the next incarnation; head 0 stands for the table away.
func (s *script) decide(witnesses, members string, head bfconfig.Version) Decision {
	start := NewStart(s.now, Member{ID: "x"}, s.settings)
	start.OnMembers(list(members))
	start.OnTableAway(errors.New("outage"))
	if head > 0 {
		start.OnHead(head)
	}
	for _, id := range witnesses {
		start.OnAnswer(s.notes[string(id)].OnQuestion(s.now, Question{Instance: "x"}))
	}
	return start.Decide(s.now)
}

// CASE 5. The table is away; the instance served version 5, which two of its
// three witnesses noted, and restarts. One of the two restarted as well and has
// forgotten. Two remember, one of them only version 4: the instance must start
// at 5. If the other one forgot too, it must wait, and say for what.
func TestCase5RestartsWhileTheTableIsAway(t *testing.T) {
	s := newScript(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.repeat("abc")
	s.reach("ab", s.gate.OnVersion(s.now, 5))
	s.is.Equal(s.gate.InForce(), bfconfig.Version(5))
	s.restart("a")
	start, starts := s.decide("abc", "abc", 0).(StartAt)
	s.is.True(starts)
	s.is.Equal(start.Version, bfconfig.Version(5))
	s.restart("b")
	waiting, waits := s.decide("abc", "abc", 0).(Waiting)
	s.is.True(waits)
	s.is.Equal(waiting.String(), "table: outage; 3 of 3 candidates answered, 1 of the 2 witnesses needed")
}

// A version is held back until a majority has noted it, and what a witness
// acknowledged before it restarted is no longer held against that.
func TestGateCountsOnlyPresentMemories(t *testing.T) {
	s := newScript(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.repeat("a")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // one of three
	s.restart("a")
	stale := Ack{Witness: "a", Memory: 1, Incarnation: 1, Epoch: 1, Version: 4}
	s.reach("", s.gate.OnAck(s.now, Ack{Witness: "a", Memory: 1_001, Refused: true}))
	s.reach("", s.gate.OnAck(s.now, stale))
	s.repeat("b")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // only b holds it now
	s.repeat("a")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(4))
}

// The witnesses change from a, b, c to d, e, f and the node restarts before the
// old ones were told. Whoever asks only a, b and c next time would believe them,
// so their set binds on, in the next incarnation too, until two of them have been
// told, or until what they noted has lapsed.
func TestOldSetBindsUntilToldOrLapsed(t *testing.T) {
	for _, told := range []bool{true, false} {
		s := newScript(t)
		s.begin(1, StartAt{Version: 4}, "abc")
		s.repeat("abc")
		s.reach("def", s.gate.OnMembers(s.now, list("def")))
		s.repeat("def")
		s.reach("def", s.gate.OnVersion(s.now, 5))
		s.is.Equal(s.gate.InForce(), bfconfig.Version(4))
		start, starts := s.decide("def", "abcdef", 0).(StartAt)
		s.is.True(starts)
		s.is.Equal(start.Version, bfconfig.Version(5)) // noted, so perhaps in force
		s.is.Equal(len(start.Old), 2)
		s.begin(2, start, "def")
		s.repeat("adef")
		s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // one of a, b, c is not enough
		if told {
			s.repeat("ab")
		} else {
			s.now = s.now.Add(s.settings.Lapse)
			s.repeat("")
			s.is.Equal(s.gate.InForce(), bfconfig.Version(0))
			s.now = s.now.Add(s.settings.Margin)
			s.repeat("")
		}
		s.is.Equal(s.gate.InForce(), bfconfig.Version(5))
	}
}

// The table answers but most candidates are silent: there may be a set that
// remembers this instance and is not told. Nothing is put in force before such
// a set's notes have lapsed; the same if an answer names witnesses that are silent.
func TestUnknownSetsBindUntilLapsed(t *testing.T) {
	s := newScript(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.repeat("abc")
	old := []Set{{Incarnation: 1, Epoch: 1, Members: []string{"c", "a", "b"}}}
	s.is.Equal(s.decide("ab", "abcdef", 9), StartAt{Version: 9, FromTable: true, Old: old})
	s.restart("b")
	_, waits := s.decide("def", "defg", 9).(Waiting)
	s.is.True(!waits) // no majority of three among d, e, f, g has stayed silent
	for _, candidates := range []string{"ad", "d"} {
		_, waits = s.decide(candidates, "adefg", 9).(Waiting)
		s.is.True(waits) // b and c are named by a, or too many are silent
	}
	_, waits = s.decide("adef", "adef", 9).(Waiting)
	s.is.True(waits) // b and c are named by a, and silent
	s.begin(2, StartAt{Version: 9, FromTable: true, Unknown: true}, "def")
	s.repeat("def")
	s.repeat("def")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0))
	s.now = s.now.Add(s.settings.Lapse + s.settings.Margin)
	s.repeat("def")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(9))
	for _, flapping := range []string{"ab", "bc", "cd", "de", "ef", "fa", "ac", "bd", "ce", "df"} {
		s.reach("", s.gate.OnMembers(s.now, list(flapping)))
	}
	s.is.True(s.gate.Waiting() < 8) // a membership that flaps
}

// A witness must not count on the strength of old notes: one that arrives late
// neither refreshes a registration nor takes a newer set's place, one for an
// earlier memory is refused, and a full memory refuses rather than forgets.
func TestWitnessTakesNoOldNoteForFresh(t *testing.T) {
	s := newScript(t)
	witness := s.notes["a"]
	note := func(epoch uint64, version bfconfig.Version) Note {
		set := Set{Incarnation: 1, Epoch: epoch, Members: []string{"a"}}
		return Note{Instance: "x", Incarnation: 1, Epoch: epoch, Version: version, Memory: 1, Sets: []Set{set}}
	}
	counts := func() bool { return witness.OnQuestion(s.now, Question{Instance: "x"}).Counts }
	s.is.True(!counts())
	s.is.Equal(witness.OnNote(s.now, note(2, 7)).Version, bfconfig.Version(7))
	s.now = s.now.Add(s.settings.Lapse)
	s.is.Equal(witness.OnNote(s.now, note(1, 6)).Epoch, uint64(2))
	s.is.True(counts())
	s.now = s.now.Add(time.Second)
	s.is.True(!counts()) // lapsed, the old note did not refresh it
	witness.Tick(s.now)
	s.is.Equal(witness.Len(), 1) // kept for as long as an older note may be under way
	s.is.True(!witness.OnNote(s.now, note(2, 7)).Refused)
	s.now = s.now.Add(2 * time.Hour) // frozen
	s.is.True(witness.OnNote(s.now, note(2, 7)).Refused)
	s.is.True(!counts())
	small := s.settings
	small.MaxNotes = 1
	witness = NewNotes(s.now, "a", 1, small)
	other := note(1, 1)
	other.Instance = "y"
	s.is.True(!witness.OnNote(s.now, other).Refused)
	s.is.True(witness.OnNote(s.now, note(1, 1)).Refused)
	s.is.Equal(witness.Len(), 1)
}

// The witnesses of a node lie in as many failure domains as there are, in its
// own region; alone, a node has none and only the table counts.
func TestWitnessesSpreadOverFailureDomains(t *testing.T) {
	s := newScript(t)
	self := Member{ID: "x", Region: "vienna", Domain: "wien-nord"}
	members := []Member{self, {ID: "far", Region: "hobart", Domain: "princes"}}
	for i, domain := range []string{"wien-nord", "wien-sued", "wien-west", "wien-nord", "wien-sued", "wien-west"} {
		members = append(members, Member{ID: fmt.Sprint("m", i), Region: "vienna", Domain: domain})
	}
	domains := map[string]string{}
	for _, m := range members {
		domains[m.ID] = m.Domain
	}
	chosen := Witnesses(self, members, 3)
	s.is.Equal(domains[chosen[2]], "wien-nord") // its own comes last
	s.is.True(domains[chosen[0]] != domains[chosen[1]])
	s.is.Equal(Witnesses(self, members, 7)[:3], chosen)
	s.is.Equal(Witnesses(self, members, 7)[6], "far")
	s.gate = NewGate(s.now, self, 1, StartAt{Version: 3, FromTable: true}, s.settings)
	s.is.Equal(s.gate.OnMembers(s.now, []Member{self}), []Action{PutInForce{Version: 3}})
	s.is.Equal(s.decide("", "", 3).(StartAt).Unknown, false)
	_, waits := s.decide("", "", 0).(Waiting)
	s.is.True(waits)
}

// A version costs three notes and three answers of a few dozen bytes, once the
// witnesses have the set; the sums in docs/design/recover.md are these.
func TestCostOfAVersion(t *testing.T) {
	for _, mode := range []Mode{ConvergenceFirst, BytesFirst} {
		s := newScript(t)
		s.settings.Mode = mode
		incarnation := uint64(time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC).UnixMicro())
		s.gate = NewGate(s.now, Member{ID: "asset-vault-wien-nord-0123"}, incarnation, StartAt{Version: 95_999}, s.settings)
		s.gate.OnMembers(s.now, list("abc"))
		messages, bytes := 0, 0
		count := func(message any) {
			data, err := cbor.Marshal(message)
			s.is.NoErr(err)
			messages++
			bytes += len(data)
		}
		for _, id := range []string{"a", "b", "c"} {
			ack := Ack{Witness: "asset-vault-wien-sued-0123", Memory: incarnation, Incarnation: incarnation, Epoch: 1, Version: 95_999}
			ack.Witness = id
			s.gate.OnAck(s.now, ack)
		}
		for _, action := range s.gate.OnVersion(s.now, 96_000) {
			var note Note
			switch action := action.(type) {
			case NoteNow:
				note = action.Note
				s.is.Equal(mode, ConvergenceFirst)
			case NoteWithHeartbeat:
				note = action.Note
				s.is.Equal(mode, BytesFirst)
			}
			count(note)
			count(Ack{Witness: "asset-vault-wien-sued-0123", Memory: incarnation, Incarnation: incarnation, Epoch: 1, Version: 96_000})
		}
		s.is.Equal(messages, 6)
		t.Logf("mode %d: %d messages, %d bytes a version", mode, messages, bytes)
		s.is.True(bytes <= 360)
	}
}

func BenchmarkWitnesses25000(b *testing.B) {
	var members []Member
	for i := range 25_000 { // 10 regions
		members = append(members, Member{ID: fmt.Sprint("node-", i), Region: fmt.Sprint("r", i%10), Domain: fmt.Sprint("d", i%26)})
	}
	for b.Loop() {
		Witnesses(members[7], members, 3)
	}
}

func BenchmarkGateVersion(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	gate := NewGate(now, Member{ID: "x"}, 1, StartAt{}, DefaultSettings())
	gate.OnMembers(now, list("abc"))
	version := bfconfig.Version(0)
	for b.Loop() {
		version++
		gate.OnVersion(now, version)
		for _, id := range []string{"a", "b", "c"} {
			gate.OnAck(now, Ack{Witness: id, Memory: 1, Incarnation: 1, Epoch: 1, Version: version})
		}
	}
	if gate.InForce() != version {
		b.Fatal(gate.InForce())
	}
}
