// Package bfagenda implements the event queue and virtual clock of a discrete-event simulation.
package bfagenda
