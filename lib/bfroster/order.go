package bfroster

import (
	"maps"
	"slices"
	"sort"
)

// Group is the members of one service in one domain.
type Group struct {
	region, domain string
	members        []*Member
}

// Region is the region of the group's domain.
func (g Group) Region() string { return g.region }

// Domain is the failure domain that the group's members share.
func (g Group) Domain() string { return g.domain }

// Members are in the order of their keys.
func (g Group) Members() []*Member { return g.members }

// Order is one immutable view of the members that are Alive or Suspect, sorted by key.
//
// Nodes that hold slightly different views still agree on which of two members
// comes first, since the key depends on the member alone.
type Order struct {
	members  []*Member
	ranks    map[uint64]int32
	services map[string][]Group
	alive    int
	digest   uint64
}

// NewOrder makes the order of rows; rows that are Dead or Left are not in it.
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

// buildOrder takes over members, which are sorted.
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

// addToGroup relies on members coming domain by domain.
func addToGroup(groups []Group, m *Member) []Group {
	last := len(groups) - 1
	if last < 0 || groups[last].domain != m.row.Domain || groups[last].region != m.row.Region {
		groups = append(groups, Group{region: m.row.Region, domain: m.row.Domain})
		last++
	}
	groups[last].members = append(groups[last].members, m)
	return groups
}

// Change is what became of an Order's members.
type Change struct {
	// Sorted lists the members present by key; an Order copies it.
	Sorted []*Member
	// Touched holds by hash the members that changed, nil for those no longer present.
	Touched map[uint64]*Member
	// Moved says that members came or went.
	Moved bool
	// Digest identifies the view.
	Digest uint64
}

// Next is the order after some members changed.
//
// It shares with o what did not change: built from nothing at 25,000 members,
// an order costs some 30,000 allocations, for each row of a mass loss.
func (o *Order) Next(c Change) *Order {
	next := &Order{members: slices.Clone(c.Sorted), ranks: o.ranks, services: maps.Clone(o.services), digest: c.Digest}
	next.alive = o.alive
	if c.Moved {
		next.ranks = ranksOf(next.members)
	}
	changed := map[string]bool{}
	for hash, member := range c.Touched {
		if rank, found := o.RankOf(hash); found {
			next.alive -= o.members[rank].countAlive()
			changed[o.members[rank].row.Service] = true
		}
		if member != nil {
			next.alive += member.countAlive()
			changed[member.row.Service] = true
		}
	}
	delete(changed, "")
	next.regroup(changed, c.Touched)
	return next
}

// regroup lists the members of changed services again.
func (o *Order) regroup(changed map[string]bool, touched map[uint64]*Member) {
	lists := map[string][]*Member{}
	for service := range changed {
		for _, group := range o.services[service] {
			for _, m := range group.members {
				if _, replaced := touched[m.key.Hash]; !replaced {
					lists[service] = append(lists[service], m)
				}
			}
		}
	}
	for _, m := range touched {
		if m != nil && m.row.Service != "" {
			lists[m.row.Service] = append(lists[m.row.Service], m)
		}
	}
	for service := range changed {
		delete(o.services, service)
		slices.SortFunc(lists[service], CompareMembers)
		for _, m := range lists[service] {
			o.services[service] = addToGroup(o.services[service], m)
		}
	}
}

// Len is how many members the order has.
func (o *Order) Len() int { return len(o.members) }

// Alive is how many members are not suspected.
func (o *Order) Alive() int { return o.alive }

// Digest identifies the view.
func (o *Order) Digest() uint64 { return o.digest }

// At is the member of a rank.
func (o *Order) At(rank int) *Member { return o.members[rank] }

// Rank finds a member's place by its ID.
func (o *Order) Rank(id string) (int, bool) {
	rank, found := o.RankOf(HashID(id))
	return rank, found && o.members[rank].row.ID == id
}

// RankOf finds a member's place by the hash of its ID.
func (o *Order) RankOf(hash uint64) (int, bool) {
	rank, found := o.ranks[hash]
	return int(rank), found
}

// Search is the rank of the first member whose key is at least key.
func (o *Order) Search(key Key) int {
	return sort.Search(len(o.members), func(i int) bool { return o.members[i].key.Compare(key) >= 0 })
}

// Targets lists the members of a service, grouped by domain; the groups must not be changed.
func (o *Order) Targets(service string) []Group { return o.services[service] }
