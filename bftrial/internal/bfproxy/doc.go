// Package bfproxy injects network faults between two processes on one machine.
package bfproxy
