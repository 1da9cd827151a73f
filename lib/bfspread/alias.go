package bfspread

import (
	"bilberryflow.org/lib/bfcount"
	"bilberryflow.org/lib/bfspan"
)

// The names in this file have moved to packages below; they stay here only until
// every importer names the new places, and nothing in this package uses them.

// Names of bfcount.
type (
	// Tally is bfcount.Tally.
	Tally = bfcount.Tally
	// VersionCount is bfcount.VersionCount.
	VersionCount = bfcount.VersionCount
	// DomainCount is bfcount.DomainCount.
	DomainCount = bfcount.DomainCount
	// Lack is bfcount.Lack.
	Lack = bfcount.Lack
)

// Names of bfspan.
type (
	// Range is bfspan.Range.
	Range = bfspan.Range
	// Scope is bfspan.Scope.
	Scope = bfspan.Scope
)

// Names of bfspan.
const (
	ScopeReceiver = bfspan.ScopeReceiver
	ScopeDomain   = bfspan.ScopeDomain
	ScopeFleet    = bfspan.ScopeFleet
)
