// Package bfshare estimates the share of recent events that had one result, such as the
// failure rate of a target or the acceptance rate of a service.
package bfshare
