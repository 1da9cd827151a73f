package bfroster

import (
	"maps"
	"slices"
	"sort"
)

// Group holds the members of one service in one failure domain.
type Group struct {
	region, domain string
	members        []*Member
}

// Region returns the region of the group's domain.
func (g Group) Region() string { return g.region }

// Domain returns the failure domain of the group's members.
func (g Group) Domain() string { return g.domain }

// Members returns the members in key order.
func (g Group) Members() []*Member { return g.members }

// Order is an immutable view of the members that are Alive or Suspect, sorted by key.
//
// The key depends on the member alone, so nodes with different views agree on the relative
// order of two members.
type Order struct {
	members  []*Member
	ranks    map[uint64]int32
	services map[string][]Group
	alive    int
	digest   uint64
}

// NewOrder returns the order of rows, without those that are Dead or Left.
func NewOrder(rows []Row) *Order {
	members := make([]*Member, 0, len(rows))
	for _, row := range rows {
		if row.State.Present() {
			members = append(members, NewMember(row, false))
		}
	}
	slices.SortFunc(members, CompareMembers)
	return buildOrder(members, 0)
}

// buildOrder returns the order of sorted members and takes ownership of the slice.
func buildOrder(members []*Member, digest uint64) *Order {
	o := &Order{members: members, ranks: ranksOf(members), services: map[string][]Group{}, digest: digest}
	for _, m := range members {
		if m.Alive() {
			o.alive++
		}
		if service := m.row.Service; service != "" {
			o.services[service] = addToGroup(o.services[service], m)
		}
	}
	return o
}

func ranksOf(members []*Member) map[uint64]int32 {
	ranks := make(map[uint64]int32, len(members))
	for i, m := range members {
		ranks[m.key.Hash] = int32(i)
	}
	return ranks
}

// addToGroup appends a member to the last group, or to a new one if the domain differs. Members
// must be added in key order.
func addToGroup(groups []Group, m *Member) []Group {
	last := len(groups) - 1
	if last < 0 || groups[last].domain != m.row.Domain || groups[last].region != m.row.Region {
		groups = append(groups, Group{region: m.row.Region, domain: m.row.Domain})
		last++
	}
	groups[last].members = append(groups[last].members, m)
	return groups
}

// Change describes the difference between an Order and its successor.
type Change struct {
	// Sorted lists the present members by key; the Order copies it.
	Sorted []*Member
	// Changed maps the hash of each changed member to the member, or to nil if it is no longer
	// present.
	Changed map[uint64]*Member
	// MembershipChanged is set if members were added or removed.
	MembershipChanged bool
	// Digest identifies the new view.
	Digest uint64
}

// Next returns the order after a change.
//
// It shares the unchanged parts with o: rebuilding an order of a large fleet for every row of a
// mass failure would cost an allocation or more per member each time.
func (o *Order) Next(c Change) *Order {
	next := &Order{members: slices.Clone(c.Sorted), ranks: o.ranks, services: maps.Clone(o.services), digest: c.Digest}
	next.alive = o.alive
	if c.MembershipChanged {
		next.ranks = ranksOf(next.members)
	}
	changedServices := map[string]bool{}
	for hash, member := range c.Changed {
		if rank, found := o.RankByHash(hash); found {
			next.alive -= o.members[rank].aliveCount()
			changedServices[o.members[rank].row.Service] = true
		}
		if member != nil {
			next.alive += member.aliveCount()
			changedServices[member.row.Service] = true
		}
	}
	delete(changedServices, "")
	next.regroup(changedServices, c.Changed)
	return next
}

// regroup rebuilds the groups of the changed services.
func (o *Order) regroup(services map[string]bool, members map[uint64]*Member) {
	lists := map[string][]*Member{}
	for service := range services {
		for _, group := range o.services[service] {
			for _, m := range group.members {
				if _, replaced := members[m.key.Hash]; !replaced {
					lists[service] = append(lists[service], m)
				}
			}
		}
	}
	for _, m := range members {
		if m != nil && m.row.Service != "" {
			lists[m.row.Service] = append(lists[m.row.Service], m)
		}
	}
	for service := range services {
		delete(o.services, service)
		slices.SortFunc(lists[service], CompareMembers)
		for _, m := range lists[service] {
			o.services[service] = addToGroup(o.services[service], m)
		}
	}
}

// Len returns the number of members.
func (o *Order) Len() int { return len(o.members) }

// Alive returns the number of members that are not suspected.
func (o *Order) Alive() int { return o.alive }

// Digest identifies the view.
func (o *Order) Digest() uint64 { return o.digest }

// At returns the member at a rank.
func (o *Order) At(rank int) *Member { return o.members[rank] }

// Rank returns the rank of the member with the given ID.
func (o *Order) Rank(id string) (int, bool) {
	rank, found := o.RankByHash(HashID(id))
	return rank, found && o.members[rank].row.ID == id
}

// RankByHash returns the rank of the member whose ID has the given hash.
func (o *Order) RankByHash(hash uint64) (int, bool) {
	rank, found := o.ranks[hash]
	return int(rank), found
}

// Search returns the rank of the first member whose key is at least key, or Len if there is
// none.
func (o *Order) Search(key Key) int {
	return sort.Search(len(o.members), func(i int) bool { return o.members[i].key.Compare(key) >= 0 })
}

// Targets returns the members of a service grouped by failure domain; callers must not modify
// the groups.
func (o *Order) Targets(service string) []Group { return o.services[service] }
