// Package bflink decides which long answers a narrow link can send in time.
//
// It addresses loads whose answers exceed what the links carry: 180 answers of 90 kB a second
// over five links of 14 Mbit/s, which carry 97. A queue of answers that have begun is known too
// late, since requests that run will send theirs as well. Each admitted request therefore
// reserves room for its expected answer. The package uses neither clock nor goroutines.
package bflink
