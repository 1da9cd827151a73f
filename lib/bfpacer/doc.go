// Package bfpacer paces the long answers of a node on a slow link, so that short messages
// don't wait behind them.
package bfpacer
