// Command bfplatform is a program of bilberryflow.
package main

func main() {}
