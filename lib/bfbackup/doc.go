// Package bfbackup stores a copy of the fleet's quarantined requests in the platform's
// store, so that the quarantine survives a restart of all nodes. One node at a time maintains
// the copy: it reads the copy when it takes over, and writes it when the quarantine changes.
package bfbackup
