package bfspread

import (
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// SetInForce sets the version in force on this node, which it reports in a census.
func (s *Spreader) SetInForce(version bfconfig.Version) { s.counter.SetInForce(version) }

// Census counts the versions in force in the whole fleet; the result is a CensusDone
// with the returned ID, at the latest after wait.
func (s *Spreader) Census(now time.Time, wait time.Duration) (uint32, []Action) {
	s.begin()
	id, actions := s.counter.Start(now, wait)
	s.doCounterActions(actions)
	return id, s.out
}

// doCounterActions carries out the actions of the counter.
func (s *Spreader) doCounterActions(actions []bfcount.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case bfcount.SendQuery:
			s.emit(sendTo(action.Relay, Census(action.Query)))
		case bfcount.SendResponse:
			s.send(action.To, CensusAnswer(action.Response))
		case bfcount.Done:
			s.emit(CensusDone{ID: action.ID, Tally: action.Tally})
		}
	}
}

// censusFleet implements bfcount.Fleet with the spreader's tree.
type censusFleet struct{ spreader *Spreader }

// Order returns the spreader's view of the members.
func (r censusFleet) Order() *bfroster.Order { return r.spreader.order }

// Split splits a span as a push does.
func (r censusFleet) Split(span bfspan.Span) []bfspan.Span { return r.spreader.split(span) }

// Relay picks a relay as a push does.
func (r censusFleet) Relay(span bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool) {
	return r.spreader.pickRelay(span, tried)
}

// NewNonce returns a new nonce of the spreader.
func (r censusFleet) NewNonce() uint32 { return r.spreader.newNonce() }
