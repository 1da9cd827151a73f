// Package bfrumor has nodes tell each other of requests under which targets end. What a
// node learns itself goes at once to those who hear first, and they pass on what is new to
// them; nodes that find by a digest that they know different things compare all they know.
//
// The digest rides on messages that nodes exchange anyway, so that nothing is sent for it
// while nothing is known.
package bfrumor
