// Command bfctl sends operators' commands to a node of bilberryflow.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"bilberryflow.org/bfctl/internal/bfcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := bfcommand.Main(ctx, os.Args[1:], bfcommand.Process())
	stop()
	os.Exit(code)
}
