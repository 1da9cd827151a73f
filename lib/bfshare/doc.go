// Package bfshare holds the share of recent events that were of one kind: requests
// that a target failed, questions that were taken.
package bfshare
