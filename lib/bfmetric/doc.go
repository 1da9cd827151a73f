// Package bfmetric keeps the counters and latency histograms of a process and
// publishes them by expvar, with a histogram for each label such as a tenant
// or a class.
package bfmetric
