// Package bfquotanet carries the messages of bfquota between nodes and lets the entry of a node take
// tokens.
package bfquotanet
