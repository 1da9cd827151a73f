// Package bfspread decides how versions of the configuration reach every node.
//
// Spreader is the core: it takes the time and a message and returns what to do.
// Whoever has a new version first covers the whole Order of members; each
// receiver splits the range it was given and hands the parts on, so the tree
// needs no upkeep and no node is special. Versions that got lost on the way are
// noticed by the heads that ride on other messages, and pulled once. A node
// applies versions in order only, each whole or not at all. Package bfspan
// splits the ranges, and package bfcount runs the censuses.
package bfspread
