// Package bfconfig defines the configuration objects, the totally ordered
// versions they form, and the rules that validate them.
//
// A State is an immutable, complete version in which every reference resolves.
// States are created only by Empty, Propose, Apply and Restore. The last three
// validate the result, so a node never has a partially applied version or a
// route to an object that does not exist.
package bfconfig
