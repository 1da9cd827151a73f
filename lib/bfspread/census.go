package bfspread

import (
	"time"

	"bilberryflow.org/lib/bfconfig"
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfroster"
	"bilberryflow.org/lib/bfspan"
)

// SetInForce takes the version in force on this node, which a census tells.
func (s *Spreader) SetInForce(version bfconfig.Version) { s.counter.SetInForce(version) }

// Census asks the whole fleet what is in force; CensusDone answers with the returned ID within wait.
func (s *Spreader) Census(now time.Time, wait time.Duration) (uint32, []Action) {
	s.begin()
	id, actions := s.counter.Start(now, wait)
	s.count(actions)
	return id, s.out
}

// count does what the counter decided.
func (s *Spreader) count(actions []bfcount.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case bfcount.Ask:
			s.do(sendTo(action.Relay, Census(action.Question)))
		case bfcount.Reply:
			s.send(action.To, CensusAnswer(action.Answer))
		case bfcount.Done:
			s.do(CensusDone{ID: action.ID, Tally: action.Tally})
		}
	}
}

// relays is what the counter needs of the spreader.
type relays struct{ spreader *Spreader }

// Order is the view that parts are drawn from.
func (r relays) Order() *bfroster.Order { return r.spreader.order }

// Split splits as a push does.
func (r relays) Split(over bfspan.Span) []bfspan.Span { return r.spreader.split(over) }

// Relay draws as a push does.
func (r relays) Relay(over bfspan.Span, tried []bfroster.Key) (*bfroster.Member, bool) {
	return r.spreader.relay(over, tried)
}

// NewNonce takes the next number of the spreader's messages.
func (r relays) NewNonce() uint32 { return r.spreader.newNonce() }
