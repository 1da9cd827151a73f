// Package bfproof decides whether a node can prove that its configuration is recent enough to honour
// API keys. A proof is a moment, on a clock that counts suspensions, such that the configuration in
// force contains every version which the store acknowledged before it. The package reads no clock.
package bfproof
