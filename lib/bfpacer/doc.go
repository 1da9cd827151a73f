// Package bfpacer shares a slow link between the long answers of one node, piece by piece,
// so that short messages do not wait behind them.
package bfpacer
