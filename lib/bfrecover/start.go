package bfrecover

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// Decision is the sealed set of decisions about the start of a node.
type Decision interface{ isDecision() }

// StartAt permits the node to fetch the version and create a Gate; it must not put
// an older version in force.
type StartAt struct {
	Version bfconfig.Version
	// FromTable is set if the version is the table's head and not noted by witnesses.
	FromTable bool
	// OldSets lists sets of earlier incarnations that may still be binding.
	OldSets []Set
	// UnknownSets is set if sets other than OldSets may still be binding.
	UnknownSets bool
}

// Waiting means that the node can't serve yet and must reject requests as retryable.
type Waiting struct {
	// TableErr is the error of the last failed read of the head, nil if none has failed.
	TableErr error
	// Valid is the number of witnesses of the newest set whose notes are valid;
	// Needed is the majority of that set, 0 while no set is known.
	Valid, Needed int
	// Candidates is the number of candidates asked, Answered that of those that have answered.
	Answered, Candidates int
}

// Contradiction reports a witness that noted a version newer than the table's
// head, which violates an invariant.
type Contradiction struct{ Head, Noted bfconfig.Version }

func (StartAt) isDecision()       {}
func (Waiting) isDecision()       {}
func (Contradiction) isDecision() {}

// String describes what the node is waiting for.
func (w Waiting) String() string {
	return fmt.Sprintf("table: %v; %d of %d candidates answered, %d of the %d witnesses needed",
		w.TableErr, w.Answered, w.Candidates, w.Valid, w.Needed)
}

// Start decides at which version a restarted node may start.
type Start struct {
	self     Member
	settings Settings
	// askingSince is the time since which the node has both joined and read the head.
	askingSince time.Time
	joined      bool
	candidates  []string
	answers     map[string]Answer
	hasHead     bool
	head        bfconfig.Version
	tableErr    error
}

// NewStart returns the Start of a node that has just been started.
func NewStart(now time.Time, self Member, settings Settings) *Start {
	return &Start{self: self, settings: settings, askingSince: now, answers: map[string]Answer{}}
}

// OnMembers sets the members, once the node has received all of them from a peer
// or has found that it is the only one.
func (s *Start) OnMembers(members []Member) {
	s.joined = true
	s.candidates = Witnesses(s.self, members, s.settings.Candidates)
}

// OnHead handles the table's head, which must have been read after the start.
func (s *Start) OnHead(version bfconfig.Version) {
	s.hasHead = true
	s.head = version
}

// OnTableError handles an error of reading the head.
func (s *Start) OnTableError(reason error) { s.tableErr = reason }

// OnAnswer handles a witness's answer. An answer that counts isn't replaced by one
// that doesn't, since it stays valid if the witness loses its notes later.
func (s *Start) OnAnswer(answer Answer) {
	if earlier, known := s.answers[answer.Witness]; known && earlier.Counts && !answer.Counts {
		return
	}
	s.answers[answer.Witness] = answer
}

// Ask lists the members to send a Question to: the candidates and all witnesses
// named in answers, except those whose answer counts already.
func (s *Start) Ask() []string {
	ids := slices.Clone(s.candidates)
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

// Decide returns the decision for what has been received by now.
func (s *Start) Decide(now time.Time) Decision {
	if !s.joined || !s.hasHead {
		// The time of the join must not count: a node that has not asked any
		// witness yet would have to assume unknown sets, and delay its versions
		// until those have expired.
		s.askingSince = now
	}
	sets, noted := s.newest()
	valid, needed := s.quorum(newest(sets))
	hasQuorum := needed > 0 && valid >= needed
	waiting := Waiting{
		TableErr: s.tableErr, Valid: valid, Needed: needed,
		Answered: len(s.candidates) - s.countUnanswered(s.candidates), Candidates: len(s.candidates),
	}
	switch {
	case s.hasHead && noted > s.head:
		return Contradiction{Head: s.head, Noted: noted}
	case !s.joined:
		return waiting
	case s.hasHead && hasQuorum:
		return StartAt{Version: s.head, FromTable: true, OldSets: sets}
	case s.hasHead && s.enoughAnswered():
		return StartAt{Version: s.head, FromTable: true, OldSets: s.allSets()}
	case s.hasHead && now.Sub(s.askingSince) >= s.settings.WitnessTimeout:
		return StartAt{Version: s.head, FromTable: true, OldSets: s.allSets(), UnknownSets: true}
	case !s.hasHead && hasQuorum:
		return StartAt{Version: noted, OldSets: sets}
	}
	return waiting
}

// newest returns the binding sets of the newest registration, and the highest version noted.
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

// quorum returns how many members of the set count, and how many are needed.
//
// Only members of the newest set are counted: a majority of an older one may have
// missed all versions since, unless it has registered the newer set.
func (s *Start) quorum(set Set) (valid, needed int) {
	for _, id := range set.Members {
		if s.answers[id].Counts {
			valid++
		}
	}
	return valid, majority(len(set.Members))
}

// enoughAnswered reports whether no set can have a majority of members that have
// not answered, be it an unknown set among the candidates or a set named in an
// answer. A witness that has lost its notes can't count again before this node
// registers with it, so every set is either known by now or can't reach a majority.
func (s *Start) enoughAnswered() bool {
	size := min(s.settings.Witnesses, len(s.candidates))
	if size > 0 && s.countUnanswered(s.candidates) >= majority(size) {
		return false
	}
	for _, set := range s.allSets() {
		if s.countUnanswered(set.Members) >= majority(len(set.Members)) {
			return false
		}
	}
	return true
}

func (s *Start) countUnanswered(ids []string) int {
	unanswered := 0
	for _, id := range ids {
		if _, known := s.answers[id]; !known {
			unanswered++
		}
	}
	return unanswered
}

// allSets lists the sets named in answers, oldest first.
func (s *Start) allSets() []Set {
	var all []Set
	for _, answer := range s.answers {
		all = append(all, answer.Sets...)
	}
	slices.SortFunc(all, Set.compare)
	return slices.CompactFunc(all, func(a, b Set) bool { return a.compare(b) == 0 })
}
