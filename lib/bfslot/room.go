package bfslot

// LearnRoom makes the gate learn from resets how many requests the target takes. It must be called before
// the first request.
func (g *Gate) LearnRoom() { g.learns = true }

// Announce sets the number of slots that the target announces, and admits waiting requests to the
// free ones. start identifies the start of the target: what was learned about another is forgotten.
func (g *Gate) Announce(start string, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if start != g.start {
		g.room.Restart()
		g.start = start
	}
	g.room.Announce(slots)
	g.applyLimit()
}

// applyLimit sets the number of slots that the target may use. The caller must hold mu.
func (g *Gate) applyLimit() {
	g.queue.Advance(g.timer.Now())
	g.admit(g.queue.Resize(g.room.Limit()))
}

// leaveRoom counts the end of the request, once. The caller must hold mu.
func (s *Slot) leaveRoom() (underLoad bool) {
	if s.left {
		return false
	}
	s.left = true
	g, now := s.gate, s.gate.timer.Now()
	before := g.room.Limit()
	switch s.outcome {
	case outcomeAnswered:
		g.room.Answered(now, s.run)
	case outcomeShed:
		g.room.Shed(now, s.run)
	case outcomeReset:
		if !g.learns {
			g.room.Abandoned(s.run)
			return false
		}
		underLoad = g.room.Reset(now, s.run)
	case outcomeNone:
		g.room.Abandoned(s.run)
	}
	if g.room.Limit() != before {
		g.applyLimit()
	}
	return underLoad
}

// outcome is what became of a request with a slot.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeShed
	outcomeReset
)

// Answered records that the target begins to answer the request.
func (s *Slot) Answered() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s.outcome = outcomeAnswered
	before := g.room.Limit()
	g.room.Responding(g.timer.Now(), s.run)
	if g.room.Limit() != before {
		g.applyLimit()
	}
}

// Shed records that the target refused the request.
func (s *Slot) Shed() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.outcome = outcomeShed
}

// Reset records that the target reset the connection of the request, and reports whether that is
// known to be due to its load. A request that a crash has ended is not reset, and an answer that breaks
// off is not due to a full target, which resets before it begins one.
func (s *Slot) Reset() (underLoad bool) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.outcome == outcomeAnswered {
		s.outcome = outcomeNone
		return false
	}
	s.outcome = outcomeReset
	return s.leaveRoom()
}
