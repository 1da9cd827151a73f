// Package bfbackup keeps a copy of what a fleet holds in quarantine in the platform's
// store, so that a fleet whose nodes were all started anew has it. One node keeps it for
// all; it is read once by whoever comes to keep it, and written when what is held changes.
package bfbackup
