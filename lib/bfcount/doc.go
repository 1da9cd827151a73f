// Package bfcount counts which version is in force on which members.
//
// A Counter asks one relay of each part of a span, and each relay asks on in its
// turn; the tallies are added up on the way back. A part without an answer in
// time is counted by this node's own view as lacking, so the sum says whom it
// does not know.
package bfcount
