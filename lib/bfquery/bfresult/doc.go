// Package bfresult defines the results of operators' commands: tables of typed
// cells, messages, progress, outcomes and failures, and the JSON encoding in
// which a node sends them to its client.
package bfresult
