// Package bftransfer tracks the requests that occupy a target while their client sends a long body or reads a
// long answer, so that one whose client is too slow can be ended when others wait for the target.
//
// A client that stops just short of the end of its body would otherwise keep the target's slot until its
// deadline. Where nobody waits, a slow client is left alone.
package bftransfer
