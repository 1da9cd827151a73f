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

// scenario drives one instance x and its candidate witnesses a to f step by step.
type scenario struct {
	is       *is.I
	now      time.Time
	settings Settings
	notes    map[string]*Notes
	gate     *Gate
}

func newScenario(t *testing.T) *scenario {
	s := &scenario{is: is.New(t), now: time.Unix(1_000_000, 0), settings: DefaultSettings(), notes: map[string]*Notes{}}
	s.settings.MaxPause = time.Hour
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		s.notes[id] = NewNotes(s.now, id, 1, s.settings)
	}
	return s
}

func membersOf(ids string) []Member {
	var all []Member
	for _, id := range ids {
		all = append(all, Member{ID: string(id)})
	}
	return all
}

// begin starts an incarnation with these members as its witnesses.
func (s *scenario) begin(incarnation uint64, start StartAt, members string) {
	s.gate = NewGate(s.now, Member{ID: "x"}, incarnation, start, s.settings)
	s.deliver("", s.gate.OnMembers(s.now, membersOf(members)))
}

// deliver delivers the notes to the given witnesses, and their acks; other notes are lost.
func (s *scenario) deliver(witnesses string, actions []Action) {
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

// resend delivers the notes that Tick sends again after ResendInterval.
func (s *scenario) resend(witnesses string) {
	s.now = s.now.Add(s.settings.ResendInterval)
	s.deliver(witnesses, s.gate.Tick(s.now))
}

func (s *scenario) restart(witness string) {
	s.notes[witness] = NewNotes(s.now, witness, s.notes[witness].Memory()+1_000, s.settings)
}

// decide returns the decision of the next incarnation after the given witnesses
// have answered; head 0 means that the table is unavailable.
func (s *scenario) decide(witnesses, members string, head bfconfig.Version) Decision {
	start := NewStart(s.now, Member{ID: "x"}, s.settings)
	start.OnMembers(membersOf(members))
	start.OnTableError(errors.New("outage"))
	if head > 0 {
		start.OnHead(head)
	}
	for _, id := range witnesses {
		start.OnAnswer(s.notes[string(id)].OnQuestion(s.now, Question{Instance: "x"}))
	}
	return start.Decide(s.now)
}

// CASE 5. The table is unavailable, and an instance that served version 5 restarts
// after one of the two witnesses that noted it. It must start at 5, from the other
// one and a witness that noted version 4. If the other one has restarted too, it
// must wait and report for what.
func TestCase5RestartsWhileTheTableIsAway(t *testing.T) {
	s := newScenario(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.resend("abc")
	s.deliver("ab", s.gate.OnVersion(s.now, 5))
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

// Guards against counting acks from before a witness restarted: a version passes
// only once a majority holds it in its current memory.
func TestGateCountsOnlyCurrentMemories(t *testing.T) {
	s := newScenario(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.resend("a")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // one of three
	s.restart("a")
	stale := Ack{Witness: "a", Memory: 1, Incarnation: 1, Epoch: 1, Version: 4}
	s.deliver("", s.gate.OnAck(s.now, Ack{Witness: "a", Memory: 1_001, Refused: true}))
	s.deliver("", s.gate.OnAck(s.now, stale))
	s.resend("b")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // only b holds the note now
	s.resend("a")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(4))
}

// Guards against a start from a superseded set: if a node restarts after its
// witnesses have changed from a, b, c to d, e, f, but before the old ones have
// registered the new set, the old set stays binding until two of them have
// registered a newer one, or until their notes have expired.
func TestOldSetBindsUntilRegisteredOrExpired(t *testing.T) {
	for _, registered := range []bool{true, false} {
		s := newScenario(t)
		s.begin(1, StartAt{Version: 4}, "abc")
		s.resend("abc")
		s.deliver("def", s.gate.OnMembers(s.now, membersOf("def")))
		s.resend("def")
		s.deliver("def", s.gate.OnVersion(s.now, 5))
		s.is.Equal(s.gate.InForce(), bfconfig.Version(4))
		start, starts := s.decide("def", "abcdef", 0).(StartAt)
		s.is.True(starts)
		s.is.Equal(start.Version, bfconfig.Version(5)) // noted, so perhaps in force
		s.is.Equal(len(start.OldSets), 2)
		s.begin(2, start, "def")
		s.resend("adef")
		s.is.Equal(s.gate.InForce(), bfconfig.Version(0)) // one of a, b, c is not enough
		if registered {
			s.resend("ab")
		} else {
			s.now = s.now.Add(s.settings.NoteTTL)
			s.resend("")
			s.is.Equal(s.gate.InForce(), bfconfig.Version(0))
			s.now = s.now.Add(s.settings.Margin)
			s.resend("")
		}
		s.is.Equal(s.gate.InForce(), bfconfig.Version(5))
	}
}

// Guards against ignoring a set that could not be asked: if most candidates, or most
// members of a set named in an answer, don't answer, no version may be put in force
// until the notes of such a set have expired.
func TestUnknownSetsBindUntilExpired(t *testing.T) {
	s := newScenario(t)
	s.begin(1, StartAt{Version: 4}, "abc")
	s.resend("abc")
	old := []Set{{Incarnation: 1, Epoch: 1, Members: []string{"c", "a", "b"}}}
	s.is.Equal(s.decide("ab", "abcdef", 9), StartAt{Version: 9, FromTable: true, OldSets: old})
	s.restart("b")
	_, waits := s.decide("def", "defg", 9).(Waiting)
	s.is.True(!waits) // fewer than a majority of three among d, e, f, g have not answered
	for _, candidates := range []string{"ad", "d"} {
		_, waits = s.decide(candidates, "adefg", 9).(Waiting)
		s.is.True(waits) // a named b and c, or too many have not answered
	}
	_, waits = s.decide("adef", "adef", 9).(Waiting)
	s.is.True(waits) // a named b and c, which have not answered
	s.begin(2, StartAt{Version: 9, FromTable: true, UnknownSets: true}, "def")
	s.resend("def")
	s.resend("def")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(0))
	s.now = s.now.Add(s.settings.NoteTTL + s.settings.Margin)
	s.resend("def")
	s.is.Equal(s.gate.InForce(), bfconfig.Version(9))
	for _, flapping := range []string{"ab", "bc", "cd", "de", "ef", "fa", "ac", "bd", "ce", "df"} {
		s.deliver("", s.gate.OnMembers(s.now, membersOf(flapping)))
	}
	s.is.True(s.gate.OldSets() < 8) // bounded although the membership flaps
}

// Guards against stale notes that count: a delayed note must neither refresh a
// registration nor replace a newer set, a note for an earlier memory is refused,
// and full notes refuse new instances instead of evicting others.
func TestWitnessIgnoresStaleNotes(t *testing.T) {
	s := newScenario(t)
	witness := s.notes["a"]
	note := func(epoch uint64, version bfconfig.Version) Note {
		set := Set{Incarnation: 1, Epoch: epoch, Members: []string{"a"}}
		return Note{Instance: "x", Incarnation: 1, Epoch: epoch, Version: version, Memory: 1, Sets: []Set{set}}
	}
	counts := func() bool { return witness.OnQuestion(s.now, Question{Instance: "x"}).Counts }
	s.is.True(!counts())
	s.is.Equal(witness.OnNote(s.now, note(2, 7)).Version, bfconfig.Version(7))
	s.now = s.now.Add(s.settings.NoteTTL)
	s.is.Equal(witness.OnNote(s.now, note(1, 6)).Epoch, uint64(2))
	s.is.True(counts())
	s.now = s.now.Add(time.Second)
	s.is.True(!counts()) // expired; the delayed note did not refresh it
	witness.Tick(s.now)
	s.is.Equal(witness.Len(), 1) // kept while an older note may be in transit
	s.is.True(!witness.OnNote(s.now, note(2, 7)).Refused)
	s.now = s.now.Add(2 * time.Hour) // paused
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

// Guards against witnesses that can be lost together: they must be spread over the
// failure domains of the node's own region. A node without peers has no witnesses
// and depends on the table.
func TestWitnessesSpreadOverFailureDomains(t *testing.T) {
	s := newScenario(t)
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
	s.is.Equal(domains[chosen[2]], "wien-nord") // its own domain comes last
	s.is.True(domains[chosen[0]] != domains[chosen[1]])
	s.is.Equal(Witnesses(self, members, 7)[:3], chosen)
	s.is.Equal(Witnesses(self, members, 7)[6], "far")
	s.gate = NewGate(s.now, self, 1, StartAt{Version: 3, FromTable: true}, s.settings)
	s.is.Equal(s.gate.OnMembers(s.now, []Member{self}), []Action{PutInForce{Version: 3}})
	s.is.Equal(s.decide("", "", 3).(StartAt).UnknownSets, false)
	_, waits := s.decide("", "", 0).(Waiting)
	s.is.True(waits)
}

// Guards the traffic per version: three notes and three acks without the sets, once
// the witnesses have registered them. docs/design/recover.md quotes the sums.
func TestCostOfAVersion(t *testing.T) {
	for _, mode := range []Mode{ConvergenceFirst, BytesFirst} {
		s := newScenario(t)
		s.settings.Mode = mode
		incarnation := uint64(time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC).UnixMicro())
		s.gate = NewGate(s.now, Member{ID: "asset-vault-wien-nord-0123"}, incarnation, StartAt{Version: 95_999}, s.settings)
		s.gate.OnMembers(s.now, membersOf("abc"))
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
	gate.OnMembers(now, membersOf("abc"))
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
