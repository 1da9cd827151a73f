package bfrecover

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Decision is the sealed set of what a restarted node may do.
type Decision interface{ isDecision() }

// StartAt lets the node fetch the version and make a Gate; nothing older may be put in force.
type StartAt struct {
	Version bfconfig.Version
	// FromTable is set if the version is the table's head, not what witnesses noted.
	FromTable bool
	// Old are earlier incarnations' sets that may still bind.
	Old []Set
	// Unknown is set if there may be such sets besides Old.
	Unknown bool
}

// Waiting keeps the node from serving; its callers are told "not run, come back".
type Waiting struct {
	// TableAway is the table's error, nil while it has not answered at all.
	TableAway error
	// Counting of the Needed witnesses have answered what they noted; Needed is 0 while none has.
	Counting, Needed int
	// Answered of the Asked candidates have answered anything.
	Answered, Asked int
}

// Contradiction reports a witness that noted a version newer than the table's head, which can't be.
type Contradiction struct{ Head, Noted bfconfig.Version }

func (StartAt) isDecision()       {}
func (Waiting) isDecision()       {}
func (Contradiction) isDecision() {}

// String says what the node waits for.
func (w Waiting) String() string {
	return fmt.Sprintf("table: %v; %d of %d candidates answered, %d of the %d witnesses needed",
		w.TableAway, w.Answered, w.Asked, w.Counting, w.Needed)
}

// Start decides from which version a restarted node may start.
type Start struct {
	self     Member
	settings Settings
	// asking is since when witnesses could have been asked with the head known.
	asking    time.Time
	joined    bool
	asked     []string
	answers   map[string]Answer
	hasHead   bool
	head      bfconfig.Version
	tableAway error
}

// NewStart makes the decision of a node that has just started.
func NewStart(now time.Time, self Member, settings Settings) *Start {
	return &Start{self: self, settings: settings, asking: now, answers: map[string]Answer{}}
}

// OnMembers takes the membership once the node has it whole from a peer, or knows that it is alone.
func (s *Start) OnMembers(members []Member) {
	s.joined = true
	s.asked = Witnesses(s.self, members, s.settings.Asked)
}

// OnHead takes the table's head, read after the start.
func (s *Start) OnHead(version bfconfig.Version) {
	s.hasHead = true
	s.head = version
}

// OnTableAway takes the error of a read of head.
func (s *Start) OnTableAway(reason error) { s.tableAway = reason }

// OnAnswer takes what a witness noted; knowledge stays true when its witness forgets it later.
func (s *Start) OnAnswer(answer Answer) {
	if earlier, known := s.answers[answer.Witness]; known && earlier.Counts && !answer.Counts {
		return
	}
	s.answers[answer.Witness] = answer
}

// Ask lists whom to ask, again if need be: the candidates and every witness that answers have named.
func (s *Start) Ask() []string {
	ids := slices.Clone(s.asked)
	for _, answer := range s.answers {
		for _, set := range answer.Sets {
			ids = append(ids, set.Members...)
		}
	}
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id string) bool {
		return id == s.self.ID || s.answers[id].Counts
	})
}

// Decide says what the node may do with what it knows by now.
func (s *Start) Decide(now time.Time) Decision {
	if !s.joined || !s.hasHead {
		// A join that takes longer than the patience must not use it up: a start
		// that has asked nobody would have to take every older set for possible
		// and hold its versions back until those lapse.
		s.asking = now
	}
	sets, noted := s.newest()
	counting, needed := s.quorum(newest(sets))
	whole := needed > 0 && counting >= needed
	waiting := Waiting{
		TableAway: s.tableAway, Counting: counting, Needed: needed,
		Answered: len(s.asked) - s.silent(s.asked), Asked: len(s.asked),
	}
	switch {
	case s.hasHead && noted > s.head:
		return Contradiction{Head: s.head, Noted: noted}
	case !s.joined:
		return waiting
	case s.hasHead && whole:
		return StartAt{Version: s.head, FromTable: true, Old: sets}
	case s.hasHead && s.heardOut():
		return StartAt{Version: s.head, FromTable: true, Old: s.allSets()}
	case s.hasHead && now.Sub(s.asking) >= s.settings.Patience:
		return StartAt{Version: s.head, FromTable: true, Old: s.allSets(), Unknown: true}
	case !s.hasHead && whole:
		return StartAt{Version: noted, Old: sets}
	}
	return waiting
}

// newest finds the binding sets by the newest registration, and the highest version noted.
func (s *Start) newest() (sets []Set, noted bfconfig.Version) {
	for _, id := range slices.Sorted(maps.Keys(s.answers)) {
		answer := s.answers[id]
		if !answer.Counts {
			continue
		}
		noted = max(noted, answer.Version)
		if newest(answer.Sets).compare(newest(sets)) > 0 {
			sets = answer.Sets
		}
	}
	return sets, noted
}

// quorum tells how many members of the set count, and how many must.
//
// Only members of the newest set are counted: a majority of an older one may
// have missed every version since, unless it was told of the newer set.
func (s *Start) quorum(set Set) (counting, needed int) {
	for _, id := range set.Members {
		if s.answers[id].Counts {
			counting++
		}
	}
	return counting, majority(len(set.Members))
}

// heardOut reports whether so many candidates have answered that no majority of
// a set among them has stayed silent, nor of a set that an answer has named.
// What forgot can't count again before this node registers with it, so such a
// set is either known by now or harmless.
func (s *Start) heardOut() bool {
	size := min(s.settings.Witnesses, len(s.asked))
	if size > 0 && s.silent(s.asked) >= majority(size) {
		return false
	}
	for _, set := range s.allSets() {
		if s.silent(set.Members) >= majority(len(set.Members)) {
			return false
		}
	}
	return true
}

func (s *Start) silent(ids []string) int {
	silent := 0
	for _, id := range ids {
		if _, known := s.answers[id]; !known {
			silent++
		}
	}
	return silent
}

// allSets lists every set that an answer has named, oldest first.
func (s *Start) allSets() []Set {
	var all []Set
	for _, answer := range s.answers {
		all = append(all, answer.Sets...)
	}
	slices.SortFunc(all, Set.compare)
	return slices.CompactFunc(all, func(a, b Set) bool { return a.compare(b) == 0 })
}
