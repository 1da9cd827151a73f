// Package bfroster holds what is known of the fleet's members.
//
// Row is the knowledge of one member, and Compare says which of two rows is the
// later one. Order is the immutable view of the members present, sorted by Key,
// that other parts read; a new one shares with the one before what did not change.
package bfroster
