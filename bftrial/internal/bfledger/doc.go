// Package bfledger keeps the API keys and limits of the workspaces of a soak, the requests
// that its callers send with them and the runs that its targets record, and checks the runs
// and the refusals against the keys and limits in force.
package bfledger
