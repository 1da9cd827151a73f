// Command bfnode is a program of bilberryflow.
package main

func main() {}
