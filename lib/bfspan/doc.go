// Package bfspan divides the fleet's Order among relays.
//
// A Span is an interval of keys, and Splitter cuts it into one part for each
// relay, so that every region and every domain is entered once. A Range is how a
// Span is written for its receiver.
package bfspan
