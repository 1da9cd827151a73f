// Package bfcallerclient sends a caller's requests to nodes in soaks and records what the caller sees.
package bfcallerclient
