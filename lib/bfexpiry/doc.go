// Package bfexpiry counts items that expire, in memory that does not grow with their number.
package bfexpiry
