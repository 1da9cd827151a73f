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

// probing is a probe without an ack so far.
type probing struct {
	target   uint64
	indirect time.Time
	failed   time.Time
	asked    bool
	// check is the domain whose outage the probe helps to decide.
	check bfroster.Key
}

// relayed is a probe sent for another node.
type relayed struct {
	address string
	nonce   uint32
	expires time.Time
}

// detector is the state of failure detection.
type detector struct {
	next      time.Time
	nonce     uint32
	probes    map[uint32]*probing
	relays    map[uint32]relayed
	ring      []uint64
	position  int
	suspicion map[uint64]time.Time
}

func newDetector(nonce uint32) detector {
	return detector{
		nonce: nonce, probes: map[uint32]*probing{}, relays: map[uint32]relayed{}, suspicion: map[uint64]time.Time{},
	}
}

// due is when the detector next has something to do.
func (d *detector) due() time.Time {
	next := d.next
	for _, p := range d.probes {
		at := p.failed
		if !p.asked {
			at = p.indirect
		}
		if at.Before(next) {
			next = at
		}
	}
	for _, at := range d.suspicion {
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// track starts or ends the time that a suspected member has to refute.
func (d *detector) track(now time.Time, hash uint64, row bfroster.Row, wait time.Duration) {
	if row.State != bfroster.Suspect {
		delete(d.suspicion, hash)
		return
	}
	d.suspicion[hash] = now.Add(wait)
}

// addToRing puts a new member at a random place among those still to probe.
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
	maps.DeleteFunc(m.detector.relays, func(_ uint32, r relayed) bool { return now.After(r.expires) })
	if due(now, m.detector.next) {
		m.detector.next = now.Add(m.options.ProbeInterval)
		m.probeNext(now)
	}
}

func (m *Members) probeNext(now time.Time) {
	if m.Self().State == bfroster.Left {
		return
	}
	if target, found := m.nextInRing(); found {
		m.probeFor(now, target, bfroster.Key{})
	}
}

// probeFor probes a member and waits for the ack.
func (m *Members) probeFor(now time.Time, target *bfroster.Member, check bfroster.Key) {
	nonce := m.probe(target)
	m.detector.probes[nonce] = &probing{
		target:   target.Key().Hash,
		indirect: now.Add(m.options.ProbeTimeout),
		failed:   now.Add(max(m.options.ProbeInterval, 3*m.options.ProbeTimeout)),
		check:    check,
	}
}

// nextInRing walks a shuffled list, so that each member's turn comes within one round.
func (m *Members) nextInRing() (*bfroster.Member, bool) {
	d := &m.detector
	for range len(d.ring) + m.fleet() + 1 {
		if d.position >= len(d.ring) {
			m.shuffleRing()
		}
		if len(d.ring) == 0 {
			return nil, false
		}
		hash := d.ring[d.position]
		d.position++
		member := m.table.Present(hash)
		if member != nil && !member.Lost() && hash != m.hash {
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
	m.send(target.Row().Peer, bfgossip.Probe{From: m.hash, Nonce: nonce, Advert: m.advert, News: m.news(target.Key().Hash)})
	return nonce
}

// news packs what goes to a member; what is believed of itself comes first.
//
// A member that was suspected while it was frozen must hear so at once: by
// chance alone its refutation would often come after its death is declared.
func (m *Members) news(to uint64) bfgossip.News {
	var news bfgossip.News
	budget := m.options.NewsBytes
	if loss, found := m.notice(to); found {
		news.Losses = append(news.Losses, loss)
		budget -= bfgossip.EncodedSize(loss)
	}
	limit := m.options.retransmits(m.fleet())
	budget = m.outages.records.Pack(&news, budget, limit)
	m.gossip.Pack(m.table.Row, &news, budget, limit)
	return news
}

// notice is what a member must refute to be believed alive.
func (m *Members) notice(hash uint64) (bfgossip.Loss, bool) {
	if g, buried := m.table.Grave(hash); buried {
		loss := bfgossip.Loss{State: bfroster.Dead}
		loss.Add(bfgossip.LostMember{Hash: hash, Incarnation: g.Incarnation, Sequence: g.Sequence})
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
		case due(now, p.failed):
			delete(m.detector.probes, nonce)
			m.suspect(now, p.target)
			m.checkFailed(now, p.check)
		case !p.asked && due(now, p.indirect):
			p.asked = true
			m.askOthers(nonce, p.target)
		}
	}
}

func (m *Members) askOthers(nonce uint32, target uint64) {
	for _, helper := range m.pick(m.options.IndirectProbes, target) {
		m.send(helper.Row().Peer, bfgossip.ProbeRequest{From: m.hash, Nonce: nonce, Target: target})
	}
}

func (m *Members) suspect(now time.Time, hash uint64) {
	row, found := m.table.Row(hash)
	if found && row.State == bfroster.Alive {
		row.State = bfroster.Suspect
		m.learn(now, row, true)
	}
}

func (m *Members) tickSuspicion(now time.Time) {
	var over []uint64
	for hash, at := range m.detector.suspicion {
		if due(now, at) {
			over = append(over, hash)
		}
	}
	slices.Sort(over)
	for _, hash := range over {
		delete(m.detector.suspicion, hash)
		if row, found := m.table.Row(hash); found && row.State == bfroster.Suspect {
			row.State = bfroster.Dead
			m.learn(now, row, true)
		}
	}
}

// wake starts failure detection afresh after the process itself stood still.
//
// A frozen process finds every one of its own timers run out at once: without
// this it would declare dead whoever it had probed or heard suspected before,
// though their acks and refutations wait in its sockets. All waits start
// again, so those messages are read first.
func (m *Members) wake(now time.Time) {
	clear(m.detector.probes)
	wait := m.options.suspicion(m.fleet())
	for hash := range m.detector.suspicion {
		m.detector.suspicion[hash] = now.Add(wait)
	}
	m.detector.next = now.Add(m.spread(m.options.ProbeInterval))
}

// probeDead tries one member held dead or lost, so that two sides of a healed partition find each other.
func (m *Members) probeDead() {
	dead := m.table.Unreachable()
	if len(dead) == 0 {
		return
	}
	target := dead[m.rand.IntN(len(dead))]
	m.probe(target)
	m.send(target.Row().Peer, m.summary())
}

// spray tells a few members at once, before the node's next probe is due.
func (m *Members) spray() {
	const width = 4
	for _, member := range m.pick(width, m.hash) {
		m.probe(member)
	}
}

// pick draws up to n alive members other than this node and except.
func (m *Members) pick(n int, except uint64) []*bfroster.Member {
	var picked []*bfroster.Member
	const triesEach = 4
	for range n * triesEach {
		if len(picked) == n || len(m.table.Sorted()) == 0 {
			break
		}
		member := m.table.Sorted()[m.rand.IntN(len(m.table.Sorted()))]
		hash := member.Key().Hash
		if hash != m.hash && hash != except && member.Alive() && !slices.Contains(picked, member) {
			picked = append(picked, member)
		}
	}
	return picked
}

func (m *Members) onProbe(now time.Time, from string, probe bfgossip.Probe) {
	m.heardFrom(now, probe.From)
	m.learnNews(now, probe.News)
	if m.Self().State == bfroster.Left {
		return
	}
	ack := bfgossip.Ack{From: m.hash, Nonce: probe.Nonce, News: m.news(probe.From)}
	ack.News.Losses = append(ack.News.Losses, m.refusals()...)
	row, known := m.table.Row(probe.From)
	ack.Introduce = !known
	address := from
	if known && row.Peer != "" {
		address = row.Peer
	}
	m.publishIfChanged()
	ack.Advert = m.advert
	m.send(address, ack)
	m.heard(probe.From, probe.Advert)
}

// refusals tells the sender of a message that rows it still holds were dropped as dead.
func (m *Members) refusals() []bfgossip.Loss {
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
	m.heardFrom(now, ack.From)
	m.learnNews(now, ack.News)
	if relay, found := m.detector.relays[ack.Nonce]; found {
		delete(m.detector.relays, ack.Nonce)
		m.send(relay.address, bfgossip.Ack{From: ack.From, Nonce: relay.nonce, Advert: ack.Advert})
	}
	delete(m.detector.probes, ack.Nonce)
	if ack.Introduce {
		m.gossip.Add(m.hash, true)
	}
	m.heard(ack.From, ack.Advert)
	m.compareViews(now, ack)
}

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
	m.detector.relays[nonce] = relayed{address, request.Nonce, now.Add(m.options.ProbeInterval)}
}

func (m *Members) heard(from uint64, advert bfgossip.Advert) {
	if from != m.hash {
		m.do(Heard{From: from, Advert: advert})
	}
}
