// Package bfroutestat keeps what a node remembers of the requests of each route: moving averages,
// and the requests that were not served, by which it recognizes the retries of their callers. All of
// it is bounded, since routes come and go with the configuration.
package bfroutestat
