// Package bfnested finds the request that made a nested call: a target that runs a request gives
// its calls IDs that begin with the request's ID.
package bfnested
