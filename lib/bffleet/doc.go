// Package bffleet is what one node knows of the others: who they are, which
// service's target runs beside each, how full it is and whether it answers.
//
// Who is there is read from the platform's store and swapped whole. How a target
// fares comes with the answers of its node, which decides on its own what it
// takes: a stale belief here costs a refusal and never a wrong run.
package bffleet
