// Package bffault decides which calls to the stand-in platform fail and how.
package bffault
