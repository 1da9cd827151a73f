// Package bftimer provides a timer service that runs the time-based callbacks of all
// components. Components also read the time from it, so a test under testing/synctest
// controls all of them with one clock.
package bftimer
