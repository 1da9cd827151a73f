// Package bfinspect is the backend of operators' commands on a node whose
// configuration is managed by the platform. It reports the versions in force, the
// members and targets, and how a request would be routed. Commands that change or
// list the configuration are refused, since the platform handles them.
package bfinspect
