// Package bfquarantine decides which requests are no longer run because targets end under
// them ("queries of death"). It holds, for each such request, during the ends of which
// target incarnations it ran, and gives a verdict on it. Its state merges with that of
// other nodes in any order and however often; it knows no socket, clock or log.
//
// A request is known by its Key and not by its ID: it comes again as a new attempt, from
// another node, with another ID.
package bfquarantine
