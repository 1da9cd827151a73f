// Package bfroster holds the known state of the fleet's members.
//
// Row is the state of one member, and Compare determines which of two rows of a member is
// newer. Order is an immutable view of the present members, sorted by Key; a new Order shares
// its unchanged parts with the previous one.
package bfroster
