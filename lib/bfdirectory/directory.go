package bfdirectory

import (
	"slices"
	"sync/atomic"

	"bilberryflow.org/lib/bfchoice"
	"bilberryflow.org/lib/bfrecord"
)

// Member is one instance as the membership has it.
type Member struct {
	// Home is the instance with its node's incarnation.
	Home          bfrecord.Home
	FailureDomain string
	// Service is empty while no target has announced itself there.
	Service string
	// Inbound and Peer are the node's addresses for requests and for calls.
	Inbound string
	Peer    string
	Target  bfchoice.Member
}

// Directory holds the current members; readers take no lock.
type Directory struct {
	ownDomain string
	current   atomic.Pointer[snapshot]
}

type snapshot struct {
	members  map[string]Member
	choosers map[string]*bfchoice.Chooser
	targets  map[string][]bfchoice.Member
}

// New makes an empty directory for a node in ownDomain.
func New(ownDomain string) *Directory {
	d := &Directory{ownDomain: ownDomain}
	d.current.Store(&snapshot{})
	return d
}

// Swap puts members in place of the current ones; only one goroutine may call it.
//
// A service whose targets are all gone keeps its chooser, without targets: it
// is what was seen of them, which counts again when they return.
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

// Member finds an instance.
func (d *Directory) Member(instance string) (Member, bool) {
	member, found := d.current.Load().members[instance]
	return member, found
}

// Chooser is the chooser of a service, or nil where the service never had a target.
func (d *Directory) Chooser(service string) *bfchoice.Chooser {
	return d.current.Load().choosers[service]
}

// Targets lists the targets of a service.
func (d *Directory) Targets(service string) []bfchoice.Member {
	return d.current.Load().targets[service]
}
