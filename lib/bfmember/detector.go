package bfmember

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bilberryflow.org/lib/bfgossip"
	"bilberryflow.org/lib/bfroster"
)

// pendingProbe is a direct probe that has not been acknowledged yet.
type pendingProbe struct {
	target       uint64
	indirectAt   time.Time
	failsAt      time.Time
	indirectSent bool
	// checkedDomain is the failure domain whose outage check the probe belongs to, if any.
	checkedDomain bfroster.Key
}

// relayedProbe is an indirect probe sent on behalf of another node.
type relayedProbe struct {
	address string
	nonce   uint32
	expires time.Time
}

// detector is the state of failure detection. Members are identified by the hash of
// their ID.
type detector struct {
	nextProbe time.Time
	nonce     uint32
	// probes and relays are keyed by the nonce of the probe that was sent.
	probes map[uint32]*pendingProbe
	relays map[uint32]relayedProbe
	// ring is the shuffled list of members to probe, position the next index in it.
	ring               []uint64
	position           int
	suspicionDeadlines map[uint64]time.Time
}

func newDetector(nonce uint32) detector {
	return detector{
		nonce: nonce, probes: map[uint32]*pendingProbe{}, relays: map[uint32]relayedProbe{}, suspicionDeadlines: map[uint64]time.Time{},
	}
}

// nextDeadline returns the earliest time at which the detector has work to do.
func (d *detector) nextDeadline() time.Time {
	next := d.nextProbe
	for _, p := range d.probes {
		at := p.failsAt
		if !p.indirectSent {
			at = p.indirectAt
		}
		if at.Before(next) {
			next = at
		}
	}
	for _, at := range d.suspicionDeadlines {
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// trackSuspicion starts the refutation timeout of a suspected member and stops
// that of any other member.
func (d *detector) trackSuspicion(now time.Time, hash uint64, row bfroster.Row, wait time.Duration) {
	if row.State != bfroster.Suspect {
		delete(d.suspicionDeadlines, hash)
		return
	}
	d.suspicionDeadlines[hash] = now.Add(wait)
}

// addToRing inserts a new member at a random position among those not yet probed in this round.
func (d *detector) addToRing(rng *rand.Rand, hash uint64) {
	at := d.position + rng.IntN(len(d.ring)-d.position+1)
	d.ring = slices.Insert(d.ring, at, hash)
}

func (d *detector) newNonce() uint32 {
	if d.nonce++; d.nonce == 0 {
		d.nonce++
	}
	return d.nonce
}

func (m *Members) tickDetector(now time.Time) {
	m.tickProbes(now)
	m.tickSuspicion(now)
	maps.DeleteFunc(m.detector.relays, func(_ uint32, r relayedProbe) bool { return now.After(r.expires) })
	if isDue(now, m.detector.nextProbe) {
		m.detector.nextProbe = now.Add(m.options.ProbeInterval)
		m.probeNext(now)
	}
}

func (m *Members) probeNext(now time.Time) {
	if m.Self().State == bfroster.Left {
		return
	}
	if target, found := m.nextInRing(); found {
		m.probeWithDeadline(now, target, bfroster.Key{})
	}
}

// probeWithDeadline probes a member and records the deadlines for its ack.
func (m *Members) probeWithDeadline(now time.Time, target *bfroster.Member, check bfroster.Key) {
	nonce := m.probe(target)
	m.detector.probes[nonce] = &pendingProbe{
		target:        target.Key().Hash,
		indirectAt:    now.Add(m.options.ProbeTimeout),
		failsAt:       now.Add(max(m.options.ProbeInterval, 3*m.options.ProbeTimeout)),
		checkedDomain: check,
	}
}

// nextInRing returns the next member of a shuffled list, so that every member is
// probed once per round.
func (m *Members) nextInRing() (*bfroster.Member, bool) {
	d := &m.detector
	for range len(d.ring) + m.memberCount() + 1 {
		if d.position >= len(d.ring) {
			m.shuffleRing()
		}
		if len(d.ring) == 0 {
			return nil, false
		}
		hash := d.ring[d.position]
		d.position++
		member := m.table.Present(hash)
		if member != nil && !member.Lost() && hash != m.selfHash {
			return member, true
		}
	}
	return nil, false
}

func (m *Members) shuffleRing() {
	d := &m.detector
	d.ring, d.position = d.ring[:0], 0
	for _, member := range m.table.Sorted() {
		d.ring = append(d.ring, member.Key().Hash)
	}
	m.rand.Shuffle(len(d.ring), func(i, j int) { d.ring[i], d.ring[j] = d.ring[j], d.ring[i] })
}

func (m *Members) probe(target *bfroster.Member) uint32 {
	nonce := m.detector.newNonce()
	m.send(target.Row().Peer, bfgossip.Probe{From: m.selfHash, Nonce: nonce, Advert: m.advert, News: m.piggyback(target.Key().Hash)})
	return nonce
}

// piggyback packs the updates sent with a probe or an ack to a member. A suspicion or
// death of that member itself comes first.
//
// A member that was suspected during a pause must receive the suspicion at once; if
// this were left to random gossip, its refutation would often arrive after it was
// declared dead.
func (m *Members) piggyback(to uint64) bfgossip.News {
	var news bfgossip.News
	budget := m.options.NewsBytes
	if loss, found := m.lossOf(to); found {
		news.Losses = append(news.Losses, loss)
		budget -= bfgossip.EncodedSize(loss)
	}
	limit := m.options.transmitLimit(m.memberCount())
	budget = m.outages.records.Pack(&news, budget, limit)
	m.gossip.Pack(m.table.Row, &news, budget, limit)
	return news
}

// lossOf returns the suspicion or death of a member held here, which the member must
// receive to refute it.
func (m *Members) lossOf(hash uint64) (bfgossip.Loss, bool) {
	if tombstone, dropped := m.table.Tombstone(hash); dropped {
		loss := bfgossip.Loss{State: bfroster.Dead}
		loss.Add(bfgossip.LostMember{Hash: hash, Incarnation: tombstone.Incarnation, Sequence: tombstone.Sequence})
		return loss, true
	}
	row, found := m.table.Row(hash)
	if !found || row.State == bfroster.Alive {
		return bfgossip.Loss{}, false
	}
	loss := bfgossip.Loss{Domain: row.Domain, State: row.State}
	loss.Add(bfgossip.LostMember{Hash: hash, Incarnation: row.Incarnation, Sequence: row.Sequence})
	return loss, true
}

func (m *Members) tickProbes(now time.Time) {
	nonces := slices.Sorted(maps.Keys(m.detector.probes))
	for _, nonce := range nonces {
		p := m.detector.probes[nonce]
		switch {
		case isDue(now, p.failsAt):
			delete(m.detector.probes, nonce)
			m.suspect(now, p.target)
			m.countFailedProbe(now, p.checkedDomain)
		case !p.indirectSent && isDue(now, p.indirectAt):
			p.indirectSent = true
			m.probeIndirectly(nonce, p.target)
		}
	}
}

func (m *Members) probeIndirectly(nonce uint32, target uint64) {
	for _, relay := range m.pickAlive(m.options.IndirectProbes, target) {
		m.send(relay.Row().Peer, bfgossip.ProbeRequest{From: m.selfHash, Nonce: nonce, Target: target})
	}
}

func (m *Members) suspect(now time.Time, hash uint64) {
	row, found := m.table.Row(hash)
	if found && row.State == bfroster.Alive {
		row.State = bfroster.Suspect
		m.applyRow(now, row, true)
	}
}

func (m *Members) tickSuspicion(now time.Time) {
	var expired []uint64
	for hash, at := range m.detector.suspicionDeadlines {
		if isDue(now, at) {
			expired = append(expired, hash)
		}
	}
	slices.Sort(expired)
	for _, hash := range expired {
		delete(m.detector.suspicionDeadlines, hash)
		if row, found := m.table.Row(hash); found && row.State == bfroster.Suspect {
			row.State = bfroster.Dead
			m.applyRow(now, row, true)
		}
	}
}

// resetAfterPause restarts failure detection after a pause of this process.
//
// After a pause all timers of this process have expired at once. Without the
// reset, the node would declare dead every member it had probed or suspected,
// although their acks and refutations are still in its socket buffers. Restarting all
// timeouts lets those messages be processed first.
func (m *Members) resetAfterPause(now time.Time) {
	clear(m.detector.probes)
	wait := m.options.suspicionTimeout(m.memberCount())
	for hash := range m.detector.suspicionDeadlines {
		m.detector.suspicionDeadlines[hash] = now.Add(wait)
	}
	m.detector.nextProbe = now.Add(m.jitter(m.options.ProbeInterval))
}

// probeDead probes one member that is dead or lost in this view, so that the two
// sides of a healed partition merge again.
func (m *Members) probeDead() {
	dead := m.table.Unreachable()
	if len(dead) == 0 {
		return
	}
	target := dead[m.rand.IntN(len(dead))]
	m.probe(target)
	m.send(target.Row().Peer, m.summary())
}

// probeNow gossips to a few members at once, without waiting for the next probe interval.
func (m *Members) probeNow() {
	const fanout = 4
	for _, member := range m.pickAlive(fanout, m.selfHash) {
		m.probe(member)
	}
}

// pickAlive returns up to n random alive members other than this node and except.
func (m *Members) pickAlive(n int, except uint64) []*bfroster.Member {
	var picked []*bfroster.Member
	const drawsPerMember = 4
	for range n * drawsPerMember {
		if len(picked) == n || len(m.table.Sorted()) == 0 {
			break
		}
		member := m.table.Sorted()[m.rand.IntN(len(m.table.Sorted()))]
		hash := member.Key().Hash
		if hash != m.selfHash && hash != except && member.Alive() && !slices.Contains(picked, member) {
			picked = append(picked, member)
		}
	}
	return picked
}

func (m *Members) onProbe(now time.Time, from string, probe bfgossip.Probe) {
	m.recordContact(now, probe.From)
	m.applyNews(now, probe.News)
	if m.Self().State == bfroster.Left {
		return
	}
	ack := bfgossip.Ack{From: m.selfHash, Nonce: probe.Nonce, News: m.piggyback(probe.From)}
	ack.News.Losses = append(ack.News.Losses, m.barredLosses()...)
	row, known := m.table.Row(probe.From)
	ack.Introduce = !known
	address := from
	if known && row.Peer != "" {
		address = row.Peer
	}
	m.publishIfChanged()
	ack.Advert = m.advert
	m.send(address, ack)
	m.reportAdvert(probe.From, probe.Advert)
}

// barredLosses returns losses for the rows of the message being handled whose
// incarnation was dropped as dead here, for its sender to apply.
func (m *Members) barredLosses() []bfgossip.Loss {
	slices.SortFunc(m.barred, func(a, b bfroster.Row) int { return cmp.Compare(a.ID, b.ID) })
	var list []bfgossip.Loss
	for _, row := range m.barred {
		if row.State.Present() {
			loss := bfgossip.Loss{Domain: row.Domain, State: bfroster.Dead}
			loss.Add(bfgossip.LostMember{Hash: bfroster.HashID(row.ID), Incarnation: row.Incarnation, Sequence: row.Sequence})
			list = append(list, loss)
		}
	}
	return list
}

func (m *Members) publishIfChanged() {
	if m.changed {
		m.publish()
	}
}

func (m *Members) onAck(now time.Time, ack bfgossip.Ack) {
	m.recordContact(now, ack.From)
	m.applyNews(now, ack.News)
	if relay, found := m.detector.relays[ack.Nonce]; found {
		delete(m.detector.relays, ack.Nonce)
		m.send(relay.address, bfgossip.Ack{From: ack.From, Nonce: relay.nonce, Advert: ack.Advert})
	}
	delete(m.detector.probes, ack.Nonce)
	if ack.Introduce {
		m.gossip.Add(m.selfHash, true)
	}
	m.reportAdvert(ack.From, ack.Advert)
	m.compareViews(now, ack)
}

// onProbeRequest probes a member on behalf of another node; onAck relays the ack.
func (m *Members) onProbeRequest(now time.Time, from string, request bfgossip.ProbeRequest) {
	target := m.table.Member(request.Target)
	if target == nil {
		return
	}
	address := from
	if row, known := m.table.Row(request.From); known {
		address = row.Peer
	}
	nonce := m.probe(target)
	m.detector.relays[nonce] = relayedProbe{address, request.Nonce, now.Add(m.options.ProbeInterval)}
}

func (m *Members) reportAdvert(from uint64, advert bfgossip.Advert) {
	if from != m.selfHash {
		m.emit(AdvertReceived{From: from, Advert: advert})
	}
}
