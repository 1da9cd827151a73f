// Package bffault decides which calls to the simulated platform fail and how.
package bffault
