// Package bfconfig holds the objects of configuration, the totally ordered
// versions they form, and the pure rules between them.
//
// A State is one whole version and never changes once made. Every State that
// exists is closed: each reference in it resolves. The only ways to make one
// are Apply and Restore, and both validate, so no node can hold a version in
// part or a route that points at nothing.
package bfconfig
