// Package bfloop is the one goroutine on which a part's cores run: functions come
// to it through a bounded queue, and it wakes itself when a core has something due.
package bfloop
