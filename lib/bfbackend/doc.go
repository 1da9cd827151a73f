// Package bfbackend is a node's answers to operators' commands: it joins the
// query language to the cores of commit and membership and to the platform.
package bfbackend
