// Package bfoutcome tells what the result of a send means: whether the request was served, whether a
// target may have run it, and how it counts in metrics and for the version of the target's software.
package bfoutcome
