package bfspread

import (
	"bytes"
	"time"

	"bilberryflow.org/lib/bfconfig"
)

// rejection is a version that this node could not apply, or holds with another
// digest than other nodes.
type rejection struct {
	version bfconfig.Version
	// data is the delta that failed; another copy of the version may be valid.
	data []byte
	// due is when a snapshot is requested again; zero if no version is rejected.
	due      time.Time
	backoff  time.Duration
	attempts int
	nonce    uint32
	// verified is a held version whose digest the store has confirmed.
	verified bfconfig.Version
}

// adopted clears the rejection of a version that the node now holds.
func (r *rejection) adopted(version bfconfig.Version) {
	if version >= r.version {
		*r = rejection{}
	}
}

// pending reports whether the next snapshot request is scheduled for later than now.
func (r *rejection) pending(now time.Time) bool { return !r.due.IsZero() && now.Before(r.due) }

// isRejected reports whether this very delta has failed before.
func (s *Spreader) isRejected(version bfconfig.Version, data []byte) bool {
	return s.rejection.version == version && bytes.Equal(s.rejection.data, data)
}

// reject reports a version that can't be applied and requests a snapshot instead.
//
// Either the delta is wrong or this node's own state is; the result was discarded
// as a whole in both cases. Attempts back off exponentially, so that the node
// doesn't request the version again as fast as answers arrive.
func (s *Spreader) reject(now time.Time, version bfconfig.Version, data []byte, err error) {
	s.emit(RejectVersion{Version: version, Err: err})
	s.rejection.version, s.rejection.data = version, data
	if !s.rejection.pending(now) {
		s.requestSnapshot(now)
	}
}

// onDigestMismatch handles another node's advert of the held version with another digest.
func (s *Spreader) onDigestMismatch(now time.Time, version bfconfig.Version) {
	if s.rejection.verified == version || !s.rejection.due.IsZero() {
		return
	}
	s.rejection.version = version
	s.requestSnapshot(now)
}

// requestSnapshot requests a snapshot from the store and from a random member, alternately.
func (s *Spreader) requestSnapshot(now time.Time) {
	r := &s.rejection
	r.backoff = min(max(2*r.backoff, s.options.Backoff), s.options.MaxBackoff)
	r.due = now.Add(s.jitter(r.backoff, r.backoff))
	r.attempts++
	peer, found := s.randomPeer()
	if r.attempts%2 == 1 || !found {
		s.emit(FetchSnapshot{AtLeast: r.version})
		return
	}
	r.nonce = s.newNonce()
	s.send(peer, Pull{From: s.key.Hash, Nonce: r.nonce, Held: s.state.Version(), Snapshot: true})
}

func (s *Spreader) tickRejection(now time.Time) {
	if !isDue(now, s.rejection.due) {
		return
	}
	if s.rejection.verified == s.rejection.version {
		s.rejection.due = time.Time{}
		return
	}
	s.requestSnapshot(now)
}

// StoreSnapshot handles the result of FetchSnapshot.
func (s *Spreader) StoreSnapshot(now time.Time, version bfconfig.Version, data []byte, err error) []Action {
	s.begin()
	if err == nil {
		s.restore(now, version, data, true)
	}
	return s.out
}
