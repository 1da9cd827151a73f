package bfspread

import (
	"bytes"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// refusal is a version that this node could not apply, or holds otherwise than others.
type refusal struct {
	version bfconfig.Version
	// data is the delta that failed; another copy of the version may be sound.
	data []byte
	// due is when a whole state is asked for again; zero where nothing is refused.
	due   time.Time
	wait  time.Duration
	tries int
	nonce uint32
	// verified is a held version that the store confirmed against another's digest.
	verified bfconfig.Version
}

// adopted ends the refusal of a version that the node now holds.
func (r *refusal) adopted(version bfconfig.Version) {
	if version >= r.version {
		*r = refusal{}
	}
}

// pending reports whether a refusal waits for its next attempt.
func (r *refusal) pending(now time.Time) bool { return !r.due.IsZero() && now.Before(r.due) }

// refuses reports whether exactly this delta failed before.
func (s *Spreader) refuses(version bfconfig.Version, data []byte) bool {
	return s.refusal.version == version && bytes.Equal(s.refusal.data, data)
}

// refuse keeps the older version in force and asks for a whole state instead.
//
// Either the delta is bad or this node's own state is. In both cases the result
// was thrown away whole; the waits between attempts grow, or a node that can't
// apply a version would pull it again as fast as the answers come.
func (s *Spreader) refuse(now time.Time, version bfconfig.Version, data []byte, err error) {
	s.do(RefuseVersion{Version: version, Err: err})
	s.refusal.version, s.refusal.data = version, data
	if !s.refusal.pending(now) {
		s.askWhole(now)
	}
}

// disagree is when another node holds the same version with another digest.
func (s *Spreader) disagree(now time.Time, version bfconfig.Version) {
	if s.refusal.verified == version || !s.refusal.due.IsZero() {
		return
	}
	s.refusal.version = version
	s.askWhole(now)
}

// askWhole asks the store first and a member next, in turn.
func (s *Spreader) askWhole(now time.Time) {
	r := &s.refusal
	r.wait = min(max(2*r.wait, s.options.Backoff), s.options.MaxBackoff)
	r.due = now.Add(s.jitter(r.wait, r.wait))
	r.tries++
	peer, found := s.anyPeer()
	if r.tries%2 == 1 || !found {
		s.do(FetchSnapshot{AtLeast: r.version})
		return
	}
	r.nonce = s.newNonce()
	s.send(peer, Pull{From: s.key.Hash, Nonce: r.nonce, Held: s.state.Version(), Snapshot: true})
}

func (s *Spreader) tickRefusal(now time.Time) {
	if !due(now, s.refusal.due) {
		return
	}
	if s.refusal.verified == s.refusal.version {
		s.refusal.due = time.Time{}
		return
	}
	s.askWhole(now)
}

// StoreSnapshot takes the answer to FetchSnapshot.
func (s *Spreader) StoreSnapshot(now time.Time, version bfconfig.Version, data []byte, err error) []Action {
	s.begin()
	if err == nil {
		s.restore(now, version, data, true)
	}
	return s.out
}
