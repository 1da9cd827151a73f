// Package bfera keeps the eras of the platform's store apart. A store that is restored from an
// older copy begins a new era: rows that it had acknowledged are gone, and it assigns their
// revisions again. The package wraps a store so that no revision of one era is used in another,
// and no answer of an earlier era is returned.
package bfera
