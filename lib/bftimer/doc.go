// Package bftimer is the timer service that every part with something to do at
// a time subscribes to. Parts take the time from it too, so that a test under
// testing/synctest drives all of them by one clock.
package bftimer
