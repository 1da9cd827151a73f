package bffleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Standing is what a node believes of one target, for operators.
type Standing struct {
	Member Member
	// InFlight is how many of the node's own requests are there.
	InFlight int
	// Used and Slots are the load that was told last, Age ago; Slots is 0 where none was.
	Used, Slots int
	Age         time.Duration
	// Lost says that the target's node is being looked for, Aside that the target is
	// passed over for a while.
	Lost, Aside bool
}

// Takes reports whether the target gets requests.
func (s Standing) Takes() bool { return !s.Lost && !s.Aside }

// Word is the state in a word.
func (s Standing) Word() string {
	switch {
	case s.Lost:
		return "lost"
	case s.Aside:
		return "aside"
	}
	return "ready"
}

// Why tells what the state comes from.
func (s Standing) Why() string {
	switch {
	case s.Lost:
		return "its node takes no connection and is being looked for"
	case s.Aside:
		return "its node refused lately for another reason than want of slots"
	case s.Slots == 0:
		return "nothing was heard of its load yet"
	}
	return fmt.Sprintf("%d of %d slots in use %v ago", s.Used, s.Slots, s.Age.Round(time.Millisecond))
}

// Standings lists what is believed of all members' targets, by domain and name.
func (f *Fleet) Standings(now time.Time) []Standing {
	var list []Standing
	for _, t := range f.view.Load().members {
		s := Standing{Member: t.member, InFlight: int(t.inFlight.Load()), Lost: t.probing.Load()}
		s.Aside = !s.Lost && t.aside(now)
		if told := t.told.Load(); told != nil {
			s.Used, s.Slots, s.Age = told.used, told.slots, now.Sub(told.when)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Member.Domain, b.Member.Domain), cmp.Compare(a.Member.Name(), b.Member.Name()))
	})
	return list
}
