// Package bfinspect answers operators at a node whose configuration the platform
// keeps: what is in force where, who is there, and how a request would be treated.
// Changes are made where the configuration is kept, and refused here with that reason.
package bfinspect
