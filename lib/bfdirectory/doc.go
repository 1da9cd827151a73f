// Package bfdirectory is the request path's view of the members: the addresses of each
// instance, and the chooser of each service's targets.
package bfdirectory
