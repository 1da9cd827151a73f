package bfdirectory

import (
	"slices"
	"sync/atomic"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfrecord"
)

// Member is an instance with its addresses and its target.
type Member struct {
	// Home identifies the instance together with its node's incarnation.
	Home          bfrecord.NodeIncarnation
	FailureDomain string
	// Service is empty until a target has announced itself on the instance.
	Service string
	// Inbound and Peer are the node's addresses for requests and for calls.
	Inbound string
	Peer    string
	Target  bfchoice.Member
}

// Directory holds the current members; reads are lock-free.
type Directory struct {
	ownDomain string
	current   atomic.Pointer[snapshot]
}

type snapshot struct {
	members  map[string]Member
	choosers map[string]*bfchoice.Chooser
	targets  map[string][]bfchoice.Member
}

// New returns an empty directory for a node in ownDomain.
func New(ownDomain string) *Directory {
	d := &Directory{ownDomain: ownDomain}
	d.current.Store(&snapshot{})
	return d
}

// Swap replaces the current members; it must not be called concurrently.
//
// A service that has lost all targets keeps its chooser, whose observations of those targets
// apply again when they return.
func (d *Directory) Swap(members []Member) {
	old := d.current.Load()
	next := &snapshot{
		members:  make(map[string]Member, len(members)),
		choosers: make(map[string]*bfchoice.Chooser, len(old.choosers)),
		targets:  map[string][]bfchoice.Member{},
	}
	for _, member := range members {
		next.members[member.Home.Instance] = member
		if member.Service != "" {
			next.targets[member.Service] = append(next.targets[member.Service], member.Target)
		}
	}
	for service, chooser := range old.choosers {
		next.choosers[service] = chooser
	}
	for service := range next.targets {
		if next.choosers[service] == nil {
			next.choosers[service] = bfchoice.NewChooser(d.ownDomain)
		}
	}
	for service, chooser := range next.choosers {
		if !slices.Equal(old.targets[service], next.targets[service]) {
			chooser.Swap(next.targets[service])
		}
	}
	d.current.Store(next)
}

// Member returns the member of an instance.
func (d *Directory) Member(instance string) (Member, bool) {
	member, found := d.current.Load().members[instance]
	return member, found
}

// Chooser returns the chooser of a service, or nil if the service never had a target.
func (d *Directory) Chooser(service string) *bfchoice.Chooser {
	return d.current.Load().choosers[service]
}

// Targets returns the targets of a service.
func (d *Directory) Targets(service string) []bfchoice.Member {
	return d.current.Load().targets[service]
}
