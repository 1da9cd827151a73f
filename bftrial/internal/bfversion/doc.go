// Package bfversion makes the configurations that an operator writes during a soak.
package bfversion
