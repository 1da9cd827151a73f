// Package bfdirectory is the request path's view of the membership: which
// instance is at which addresses, and the chooser of each service's targets.
package bfdirectory
