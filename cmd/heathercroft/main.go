// Command heathercroft is the operators' command line. It sends one command to
// any node of the mesh and prints the reply.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"heathercroft.example/heathercroft/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
