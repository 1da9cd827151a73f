// Package bfentry is the entry for callers: it finds the route of a request,
// sends it to the nodes beside targets of its service until one takes it, and
// gives the caller the whole answer or a truthful refusal.
//
// What may be sent again: a request that a node refused has not run, and goes to
// the next node at no cost. One that a target shed has not run either but did
// arrive, and one without an answer may have run: both are sent again only
// within the fleet's budget, the latter only where the route allows repeats.
package bfentry
