// Command bfctl is a program of bilberryflow.
package main

func main() {}
