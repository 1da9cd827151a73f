// Package bfresult holds what operators' commands answer with: tables of typed
// cells, messages, progress, outcomes and failures, and the JSON form in which
// a node sends them to its client.
package bfresult
