// Package bfmetric keeps the counters, gauges and latency histograms of a process and
// publishes them through expvar. Histograms have a label, such as a tenant or a class.
package bfmetric
